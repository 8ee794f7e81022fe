#ifndef WL_QUARANTINE_H
#define WL_QUARANTINE_H

#include <stdint.h>
#include "wl_message_nodes.h"

/*
 * Finds the part of a prompt that ends engines, and keeps requests with it away
 * from them. Prompts name their parts; a part may be in many prompts.
 *
 * Evidence against a part: an endpoint ended while a request with it was waiting
 * for its first output there, or had just begun to write. Evidence for it: a
 * response with it went on for WL_QUARANTINE_SOUND_AFTER_US, or was complete.
 * Nodes exchange both, so that each can decide by itself. A part is quarantined
 * when it alone accounts for the ends of several endpoints: see
 * wl_quarantine_note_end(). Its requests are then refused by every node, until
 * one that is let through as a trial shows that the part is sound again.
 *
 * The last part of a prompt belongs to one request or session and is never
 * quarantined, and neither is a part that all requests of a route share.
 *
 * Verdicts and the ends that count are kept on disk, so that a restart of all nodes
 * does not forget them: see wl_quarantine_save_report().
 *
 * There is no I/O here. All times are monotonic and passed in; ages in reports
 * are relative to the time of sending.
 */

enum
{
  WL_QUARANTINE_PARTS_MAX = 32,          /* parts of a prompt that are considered, the first ones */
  WL_QUARANTINE_ENDS_MAX = 32,           /* latest ends of endpoints */
  WL_QUARANTINE_SUSPECTS_MAX = 64,       /* parts that one end speaks against */
  WL_QUARANTINE_SOUND_MAX = 1024,        /* parts of which it is known when they were last sound */
  WL_QUARANTINE_ENTRIES_MAX = 64,        /* quarantined parts */
  WL_QUARANTINE_ROUTES_MAX = 256,        /* routes whose common parts are known */
  WL_QUARANTINE_ENDPOINTS = 3,           /* ends of so many endpoints quarantine a part */
  WL_QUARANTINE_ENDPOINTS_SURE = 5,      /* likewise, when it may also be for another reason */
  WL_QUARANTINE_END_GAP_US = 150000,     /* ends closer than this count as one: a common cause */
  WL_QUARANTINE_WINDOW_US = 600000000,   /* older ends do not count */
  WL_QUARANTINE_SOUND_AFTER_US = 500000, /* output for so long shows that the parts are sound */
  WL_QUARANTINE_SOUND_FOR_US = 5000000,  /* ends do not speak against a part so soon after that */
  WL_QUARANTINE_TRIAL_MIN_US = 30000000, /* until the first trial */
  WL_QUARANTINE_TRIAL_GROWTH = 4,        /* each further one takes so many times as long */
};

/* The longest time until a trial, and the time after which an entry without requests is removed. */
#define WL_QUARANTINE_TRIAL_MAX_US UINT64_C (3600000000)
#define WL_QUARANTINE_UNUSED_US UINT64_C (3600000000)

/**
 * struct WlPromptParts - the parts of a request's prompt that may be quarantined
 * @ids: their ids, all but the last of the prompt, in its order; @n of them
 *
 * Parts beyond WL_QUARANTINE_PARTS_MAX are left out.
 */
typedef struct
{
  uint64_t ids[WL_QUARANTINE_PARTS_MAX];
  uint32_t n;
} WlPromptParts;

/**
 * struct WlPartUse - a request's use of its parts
 * @service: hash of the service's name: a part is sound or not for the engines of one service
 * @route: hash of the route's name
 * @customer: hash of the customer's name, 0 for none
 * @parts: the parts
 */
typedef struct
{
  uint64_t service;
  uint64_t route;
  uint64_t customer;
  const WlPromptParts *parts;
} WlPartUse;

/**
 * enum WlQuarantineVerdict - what to do with a request
 * @WL_QUARANTINE_ADMIT: none of its parts is quarantined for its customer
 * @WL_QUARANTINE_TRIAL: one is, and a trial is due: the request may run alone at an endpoint,
 *   after wl_quarantine_begin_trial()
 * @WL_QUARANTINE_REFUSE: one is
 */
typedef enum
{
  WL_QUARANTINE_ADMIT,
  WL_QUARANTINE_TRIAL,
  WL_QUARANTINE_REFUSE,
} WlQuarantineVerdict;

/**
 * struct WlQuarantineAnswer - verdict on a request
 * @verdict: the verdict
 * @part: the quarantined part, 0 for none
 * @n_ends: endpoints that ended under it before it was quarantined
 * @age_us: time since it was quarantined
 * @trial_us: time until the next trial; when one is due, 0 for the request that may be it and
 *   the time after which to repeat the request for those that are refused
 * @is_overdue: the trial has been due for as long as it was waited for
 */
typedef struct
{
  WlQuarantineVerdict verdict;
  uint64_t part;
  uint32_t n_ends;
  uint64_t age_us;
  uint64_t trial_us;
  uint8_t is_overdue;
} WlQuarantineAnswer;

typedef struct WlQuarantine WlQuarantine;

/** wl_quarantine_create() - creates an empty quarantine */
WlQuarantine *wl_quarantine_create (void);

/** wl_quarantine_destroy() - frees a quarantine; accepts NULL */
void wl_quarantine_destroy (WlQuarantine *quarantine);

/** wl_quarantine_note_request() - records a request that arrived here, to learn what routes share
 */
void wl_quarantine_note_request (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us);

/**
 * wl_quarantine_note_sound() - records that a response goes on or was complete
 *
 * Ends before now, and WL_QUARANTINE_SOUND_FOR_US from now, do not speak against the parts. A
 * quarantined part is released.
 */
void wl_quarantine_note_sound (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us);

/**
 * wl_quarantine_note_end() - records that an endpoint ended
 * @quarantine: the quarantine
 * @endpoint: key of the endpoint
 * @use: a request that it had not written any output for, or had just begun to
 * @now_us: monotonic time
 *
 * To be called for each such request. An end that a quarantined part accounts for
 * speaks against no other part. Otherwise the part that accounts for the most
 * ends is quarantined, if these are WL_QUARANTINE_ENDPOINTS or more endpoints at
 * as many different times. WL_QUARANTINE_ENDPOINTS_SURE are needed when another
 * part may account for the same ends, or when less than half of all ends in the
 * minute before and since are among them; they are not enough while they are less than a
 * quarter of all ends since the first of them. Of several such parts it is one that was
 * never sound, before one that was; then the one furthest from the start of the
 * prompt. It is quarantined for the customer whose requests account for these
 * ends, or for all customers when several are needed for that. Only a part of a
 * request of this node is quarantined; on others other nodes decide.
 */
void wl_quarantine_note_end (WlQuarantine *quarantine, uint64_t endpoint, const WlPartUse *use,
                             uint64_t now_us);

/**
 * wl_quarantine_check() - whether a request may be sent to an endpoint
 * @quarantine: the quarantine
 * @use: the request
 * @may_try: whether this node is the one that runs trials
 * @now_us: monotonic time
 */
WlQuarantineAnswer wl_quarantine_check (WlQuarantine *quarantine, const WlPartUse *use, int may_try,
                                        uint64_t now_us);

/**
 * wl_quarantine_begin_trial() - records that a request runs as a trial of its quarantined parts
 *
 * The next trial is due after WL_QUARANTINE_TRIAL_GROWTH times the time. Without
 * wl_quarantine_note_sound() for its parts, nothing else changes.
 */
void wl_quarantine_begin_trial (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us);

/**
 * wl_quarantine_save_report() - lists what is to be kept across a restart of all nodes
 * @quarantine: the quarantine
 * @now_us: monotonic time
 * @out: receives all quarantined parts, and the ends that still speak against a part; its arrays
 *   belong to the quarantine until the next call that changes it
 */
void wl_quarantine_save_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out);

/**
 * wl_quarantine_restore() - takes over what was kept before a restart
 * @quarantine: the quarantine, empty
 * @report: as listed by wl_quarantine_save_report(); may hold any values
 * @unsaved_us: longest time between two lists while a part is quarantined
 * @now_us: monotonic time
 *
 * Times go on where they were when the list was made. The next trial is @unsaved_us earlier, so
 * that restarts do not put it off. The time in which this node did not run is not known, so that
 * what is restored may be older than it seems: a node that does not have such a part as
 * quarantined, and knows it as sound, releases it. Restored ends decide nothing by themselves, only
 * together with a new one.
 */
void wl_quarantine_restore (WlQuarantine *quarantine, const WlPartReport *report,
                            uint64_t unsaved_us, uint64_t now_us);

/** wl_quarantine_revision() - increases when what is to be kept changes, except for times */
uint64_t wl_quarantine_revision (const WlQuarantine *quarantine);

/** wl_quarantine_generation() - increases when a part is quarantined or its scope grows */
uint64_t wl_quarantine_generation (const WlQuarantine *quarantine);

/** wl_quarantine_n_entries() - quarantined parts */
uint32_t wl_quarantine_n_entries (const WlQuarantine *quarantine);

/**
 * wl_quarantine_list_endpoints() - lists endpoints whose latest ends speak against a part
 * @quarantine: the quarantine
 * @part: id of the part
 * @service: hash of the service's name
 * @out: receives up to @max keys
 * @max: size of @out
 *
 * Return: the number of keys.
 */
uint32_t wl_quarantine_list_endpoints (const WlQuarantine *quarantine, uint64_t part,
                                       uint64_t service, uint64_t *out, uint32_t max);

/**
 * wl_quarantine_take_report() - takes what other nodes are to be told since the last call
 * @quarantine: the quarantine
 * @now_us: monotonic time
 * @out: receives the report; its arrays belong to the quarantine until the next call that
 *   changes it
 *
 * Ends are told at once and once, each with all its suspects. Sound parts are told when another
 * node may hold an end against them, at most every 500 ms each. Nothing is told while no
 * endpoint ends.
 *
 * Return: 1, or 0 when there is nothing to tell.
 */
int wl_quarantine_take_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out);

/**
 * wl_quarantine_full_report() - lists all quarantined parts, for a node that may not know them
 *
 * Return: 1, or 0 when there are none.
 */
int wl_quarantine_full_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out);

/**
 * wl_quarantine_join_report() - lists all quarantined parts and all restored ends
 *
 * For a node that joins. Nodes are told restored ends by no other report, since
 * wl_quarantine_take_report() has only new ones.
 *
 * Return: 1, or 0 when there are none.
 */
int wl_quarantine_join_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out);

/**
 * wl_quarantine_apply() - applies a report of another node
 * @quarantine: the quarantine
 * @report: the report; may hold any values
 * @now_us: monotonic time
 *
 * A part is not quarantined here, and the others are told so, when it was sound here within
 * WL_QUARANTINE_SOUND_FOR_US before it was quarantined elsewhere. If the entry was restored, and
 * there is none here, it is enough that the part was sound here at any time. A report of a sound
 * part releases it likewise.
 */
void wl_quarantine_apply (WlQuarantine *quarantine, const WlPartReport *report, uint64_t now_us);

/** wl_quarantine_expire() - removes entries without requests for WL_QUARANTINE_UNUSED_US */
void wl_quarantine_expire (WlQuarantine *quarantine, uint64_t now_us);

#endif
