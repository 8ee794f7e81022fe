#ifndef WL_QUARANTINE_INTERNAL_H
#define WL_QUARANTINE_INTERNAL_H

#include "wl_quarantine.h"

/*
 * Shared by wl_quarantine.c, the quarantined parts; wl_quarantine_evidence.c, what
 * speaks against parts and for them; wl_quarantine_verdict.c, which of them are
 * quarantined; and wl_quarantine_report.c, the reports of and to other nodes.
 */

enum
{
  WL_QUARANTINE_SAME_END_US = 1000000, /* ends of one endpoint within this are one */
  WL_QUARANTINE_REPEAT_US = 500000,    /* a sound part is not told more often */
  WL_QUARANTINE_SOUND_REPEATS = 3,     /* reports of a sound part that others may have doubted */
  WL_QUARANTINE_SOUND_WAYS = 16,       /* records that may hold what is known of a sound part */
  WL_QUARANTINE_TOLD_MAX = 128,        /* sound parts in a report; the next one has the rest */
  WL_QUARANTINE_TRIALS_MAX = 1000000,  /* counted; a report may name any number */
  WL_QUARANTINE_RETRY_US = 1000000,    /* told to refused callers while a trial is due elsewhere */
};

/* The greatest age of an entry that is taken from a report, so that times can't overflow. */
#define WL_QUARANTINE_AGE_MAX_US (UINT64_C (1) << 50)

/**
 * struct WlEndRecord - an endpoint that ended
 * @endpoint: key of the endpoint
 * @at_us: when, by the node that noted it first; negative when that was before this machine's start
 * @suspects: parts that it speaks against, @n_suspects of them; those of one prompt in its order
 * @is_own: by suspect: a request of this node had it
 * @is_news: it has suspects of this node that the others have not been told
 * @is_restored: from before a restart, see wl_quarantine_restore()
 */
typedef struct
{
  uint64_t endpoint;
  int64_t at_us;
  WlPartSuspect suspects[WL_QUARANTINE_SUSPECTS_MAX];
  uint32_t n_suspects;
  uint8_t is_own[WL_QUARANTINE_SUSPECTS_MAX];
  uint8_t is_news;
  uint8_t is_restored;
} WlEndRecord;

/**
 * struct WlSoundRecord - a part that was sound
 * @part: id of the part, 0 for an unused record
 * @service: service for whose engines it was sound
 * @at_us: when it was last
 * @told_us: when the others were last told
 * @n_owed: times that they are to be told of its next sound responses
 * @is_due: they are to be told now
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t at_us;
  uint64_t told_us;
  uint8_t n_owed;
  uint8_t is_due;
} WlSoundRecord;

/**
 * struct WlQuarantineEntry - a quarantined part
 * @part: id of the part
 * @service: service for whose engines it is quarantined
 * @customer: customer whose requests are refused, 0 for all
 * @n_ends: ends that speak against it
 * @n_trials: trials that have begun
 * @at_us: when it was quarantined; negative when that was before this machine's start
 * @trial_after_us: time from then to the next trial
 * @used_after_us: time from then to the latest request with it
 * @is_news: the others are to be told
 * @is_restored: from before a restart, so that it may be older than @at_us
 *
 * The other times are relative to @at_us because differences do not change as
 * nodes tell each other, whereas a time grows with each delay.
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t customer;
  uint32_t n_ends;
  uint32_t n_trials;
  int64_t at_us;
  uint64_t trial_after_us;
  uint64_t used_after_us;
  uint8_t is_news;
  uint8_t is_restored;
} WlQuarantineEntry;

/**
 * struct WlRouteWindow - the parts that all requests of a route in a time had in common
 * @common: the parts
 * @has_requests: there were requests
 * @is_known: one of them had another part as well
 */
typedef struct
{
  WlPromptParts common;
  uint8_t has_requests;
  uint8_t is_known;
} WlRouteWindow;

/**
 * struct WlRouteRecord - what the requests of a route have in common
 * @route: hash of the route's name, 0 for an unused record
 * @used_us: time of the latest request
 * @started_us: start of the current window
 * @current: the window that takes requests
 * @previous: the one before
 */
typedef struct
{
  uint64_t route;
  uint64_t used_us;
  uint64_t started_us;
  WlRouteWindow current;
  WlRouteWindow previous;
} WlRouteRecord;

/**
 * struct WlQuarantine - parts, the evidence on them, and the latest report
 * @entries: quarantined parts, @n_entries of them; their order changes
 * @ends: ends within WL_QUARANTINE_WINDOW_US, @n_ends of them; their order changes
 * @sound: parts that were sound
 * @routes: routes that had requests
 * @generation: see wl_quarantine_generation()
 * @revision: see wl_quarantine_revision()
 * @has_news: entries, ends or sound parts may have to be told
 * @told_ends: ends of the latest report
 * @told_suspects: their suspects
 * @told_sound: its sound parts
 * @told_entries: its quarantined parts
 */
struct WlQuarantine
{
  WlQuarantineEntry entries[WL_QUARANTINE_ENTRIES_MAX];
  uint32_t n_entries;
  WlEndRecord ends[WL_QUARANTINE_ENDS_MAX];
  uint32_t n_ends;
  WlSoundRecord sound[WL_QUARANTINE_SOUND_MAX];
  WlRouteRecord routes[WL_QUARANTINE_ROUTES_MAX];
  uint64_t generation;
  uint64_t revision;
  uint8_t has_news;
  WlPartEnd told_ends[WL_QUARANTINE_ENDS_MAX];
  WlPartSuspect told_suspects[WL_QUARANTINE_ENDS_MAX][WL_QUARANTINE_SUSPECTS_MAX];
  WlSoundPart told_sound[WL_QUARANTINE_TOLD_MAX];
  WlQuarantinedPart told_entries[WL_QUARANTINE_ENTRIES_MAX];
};

/** wl_quarantine_find() - entry of a part, NULL when it is not quarantined */
WlQuarantineEntry *wl_quarantine_find (WlQuarantine *quarantine, uint64_t part, uint64_t service);

/** wl_quarantine_covers() - whether an entry's scope has the requests of a customer */
int wl_quarantine_covers (const WlQuarantineEntry *entry, uint64_t customer);

/** wl_quarantine_elapsed_us() - time since @at_us, 0 for a time to come */
uint64_t wl_quarantine_elapsed_us (int64_t at_us, uint64_t now_us);

/** wl_quarantine_age_us() - time since a part was quarantined */
uint64_t wl_quarantine_age_us (const WlQuarantineEntry *entry, uint64_t now_us);

/** wl_quarantine_interval_us() - wait for the trial after @n_trials others */
uint64_t wl_quarantine_interval_us (uint32_t n_trials);

/** wl_quarantine_add() - adds an entry; in place of the one unused for longest when all are used */
WlQuarantineEntry *wl_quarantine_add (WlQuarantine *quarantine, const WlQuarantineEntry *entry,
                                      uint64_t now_us);

/** wl_quarantine_remove() - removes an entry; moves another one to its place */
void wl_quarantine_remove (WlQuarantine *quarantine, WlQuarantineEntry *entry);

/** wl_quarantine_widen() - extends an entry's scope to all customers */
void wl_quarantine_widen (WlQuarantine *quarantine, WlQuarantineEntry *entry);

/** wl_quarantine_sound_record() - what is known of a part's soundness, NULL for nothing */
WlSoundRecord *wl_quarantine_sound_record (WlQuarantine *quarantine, uint64_t part,
                                           uint64_t service);

/** wl_quarantine_is_void() - whether an end at @at_us does not speak against a part */
int wl_quarantine_is_void (const WlSoundRecord *record, int64_t at_us);

/**
 * wl_quarantine_mark_sound() - records that a part was sound at a time
 * @quarantine: the quarantine
 * @part: id of the part
 * @service: the service
 * @at_us: when
 * @is_own: in a response of this node, so that the others are to be told
 *
 * Takes it from the suspects of ends and releases it.
 *
 * Return: 1 when it was quarantined or a suspect.
 */
int wl_quarantine_mark_sound (WlQuarantine *quarantine, uint64_t part, uint64_t service,
                              uint64_t at_us, int is_own);

/** wl_quarantine_contradict() - lets the others be told of a sound part that one of them doubts */
void wl_quarantine_contradict (WlQuarantine *quarantine, WlSoundRecord *record);

/**
 * wl_quarantine_end_record() - the record of an endpoint's end
 * @quarantine: the quarantine
 * @endpoint: key of the endpoint
 * @at_us: when it ended
 *
 * Return: that of an end within WL_QUARANTINE_SAME_END_US of it, else a new one, maybe in place of
 * the oldest; NULL when all are used by later ones.
 */
WlEndRecord *wl_quarantine_end_record (WlQuarantine *quarantine, uint64_t endpoint, int64_t at_us);

/**
 * wl_quarantine_restored_end_record() - the same for an end from before a restart
 *
 * Several nodes tell of it with different times, so that any end of the endpoint is taken for it.
 */
WlEndRecord *wl_quarantine_restored_end_record (WlQuarantine *quarantine, uint64_t endpoint,
                                                int64_t at_us);

/**
 * wl_quarantine_add_suspect() - adds a suspect to an end
 * @end: the end
 * @suspect: the suspect
 * @is_own: a request of this node had it
 * @next: place after the suspect that precedes it in the prompt; moved on
 *
 * Return: 1 when it was not one before, otherwise 0.
 */
int wl_quarantine_add_suspect (WlEndRecord *end, const WlPartSuspect *suspect, int is_own,
                               uint32_t *next);

/** wl_quarantine_forget_ends() - removes ends out of the window */
void wl_quarantine_forget_ends (WlQuarantine *quarantine, uint64_t now_us);

/** wl_quarantine_is_suspect() - whether a suspect is this part for this service */
static inline int
wl_quarantine_is_suspect (const WlPartSuspect *suspect, uint64_t part, uint64_t service)
{
  return suspect->part == part && suspect->service == service;
}

/**
 * enum WlCommonality - whether all requests of some route have a part
 * @WL_COMMON_TO_NONE: no
 * @WL_COMMON_SO_FAR: those seen by now, which were all of the same parts
 * @WL_COMMON_TO_ROUTE: yes, and they have others that differ
 */
typedef enum
{
  WL_COMMON_TO_NONE,
  WL_COMMON_SO_FAR,
  WL_COMMON_TO_ROUTE,
} WlCommonality;

/** wl_quarantine_commonality() - whether all requests of some route have a part */
WlCommonality wl_quarantine_commonality (WlQuarantine *quarantine, uint64_t part, uint64_t now_us);

/** wl_quarantine_explains() - whether a quarantined part accounts for an end */
int wl_quarantine_explains (const WlQuarantineEntry *entry, const WlEndRecord *end);

/** wl_quarantine_decide() - quarantines the parts that account for the ends */
void wl_quarantine_decide (WlQuarantine *quarantine, uint64_t now_us);

#endif
