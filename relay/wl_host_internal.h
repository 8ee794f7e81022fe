#ifndef WL_HOST_INTERNAL_H
#define WL_HOST_INTERNAL_H

#include "wl_host.h"
#include "wl_recent.h"
#include "wl_work_batch.h"

/* What the files of the host share: wl_host.c and wl_host_files.c, _gossip.c and _text.c. */

enum
{
  WL_HOST_NOTES_MAX = 64,      /* notes on work sent together */
  WL_HOST_WORK_OUT_US = 15000, /* notes wait so long for others before they leave the domain */
  WL_HOST_WORK_IN_US = 25000,  /* likewise before they go to all nodes of the domain */
  WL_HOST_WORK_US = 2500000,   /* interval of lists of all work */
  WL_HOST_SAVE_US = 1000000,   /* shortest time between two files of a kind */
  WL_HOST_APPLY_US = 150000,   /* shortest time between two configurations put in force */
  WL_HOST_REPORT_US
  = 40000, /* shortest time between two reports, so that changes travel together */
};

/** struct WlHostQuestion - a question to the control leader that is not yet answered */
typedef struct WlHostQuestion
{
  uint64_t id;
  WlMessageKind kind; /* WL_MESSAGE_SUBMIT or WL_MESSAGE_QUERY */
  uint64_t version;
  WlBytes text; /* compressed, on the heap */
  WlHostAnswer answer;
  void *data;
  uint64_t asked_us;
  uint32_t n_asked;
  uint64_t since_us;
  struct WlHostQuestion *next;
} WlHostQuestion;

/** struct WlHostLocal - a message of this node to itself */
typedef struct WlHostLocal
{
  WlBytes bytes; /* on the heap */
  struct WlHostLocal *next;
} WlHostLocal;

struct WlHost
{
  WlHostOptions options;
  uint64_t boot;
  uint64_t started_us;
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlFetchClient *client;
  WlPeers *peers;
  WlMembership *membership;
  WlRoster *roster; /* the member's */
  WlFleet *fleet;   /* the member's */
  WlLoad *load;
  WlRelay *relay;
  WlWeb *front;
  WlDocument *document; /* NULL without a disk */
  WlJournal *journal;
  WlHostLocal *first_local;
  WlHostLocal *last_local;

  uint64_t number; /* of the text in force, 0 for none */
  WlBytes text;    /* with its version in front, on the heap */
  WlRecent recent; /* the changes that led to it, as far as known here */
  WlBytes whole;   /* the text as a compressed message body, on the heap; empty until asked for */
  uint64_t pulled_us;
  uint64_t applied_us;   /* when a configuration was last put in force */
  uint8_t is_text_new;   /* the text is not in force yet */
  uint64_t saved_number; /* of the text on disk, 0 for none */
  WlBytes saved_text;    /* read at the start, on the heap; empty once a text is known */
  uint64_t text_saved_us;

  WlHostQuestion *questions;
  uint64_t next_question;

  WlWorkNote notes[WL_HOST_NOTES_MAX];
  uint32_t n_notes;
  WlWorkBatch work_out; /* of this failure domain, to be passed on to the others */
  WlWorkBatch work_in;  /* of the others, to be passed on in this one */
  uint64_t work_us;
  uint64_t endpoints_saved_us; /* when the endpoints were last saved */
  uint8_t has_new_endpoints;   /* since then */
  uint64_t tick_us;
  uint64_t slow_tick_us;
  uint64_t stopping_us; /* 0 while running */
  uint8_t has_founders;
  uint8_t may_found;
  uint8_t has_failed;
  char address[WL_ADDRESS_SIZE];
};

/** wl_host_send() - sends a message to a node, this one included */
void wl_host_send (WlHost *host, uint32_t node, const WlMessage *message);

/** wl_host_send_to() - sends one message to several nodes */
void wl_host_send_to (WlHost *host, const uint32_t *nodes, uint32_t n_nodes,
                      const WlMessage *message);

/**
 * wl_host_broadcast() - sends a message to the nodes that share accounts of endpoints
 *
 * Every node heard recently in a small fleet, those of the own failure domain
 * in a large one.
 */
void wl_host_broadcast (WlHost *host, const WlMessage *message);

/** wl_host_join() - creates the host's part in the membership */
void wl_host_join (WlHost *host);

/** wl_host_gossip_tick() - statuses, lost nodes, expiry */
void wl_host_gossip_tick (WlHost *host, uint64_t now_us);

/** wl_host_gossip_receive() - processes a message on nodes, endpoints or work; 0 for others */
int wl_host_gossip_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/**
 * wl_host_load_files() - reads what was known before a restart
 * @host: the host
 * @disk: its disk
 *
 * Endpoints count as heard a while ago: one that does not register again soon
 * gets no more work. What other nodes know is newer and replaces it. The text
 * is put in force by wl_host_text_tick() when nobody has told a newer one.
 */
void wl_host_load_files (WlHost *host, WlDisk *disk);

/** wl_host_save_files() - keeps what has changed on disk, at most every WL_HOST_SAVE_US */
void wl_host_save_files (WlHost *host, uint64_t now_us);

/** wl_host_flush_notes() - sends the notes on work of this turn, and passes on those of others */
void wl_host_flush_notes (WlHost *host);

/** wl_host_tell() - for WlRelayOptions.tell */
void wl_host_tell (void *host, const WlWorkNote *note);

/** wl_host_suspect() - for WlRelayOptions.suspect */
void wl_host_suspect (void *host, const WlEndpoint *endpoint);

/** wl_host_text_receive() - processes a message on the services text; 0 for others */
int wl_host_text_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/** wl_host_text_tick() - repeats questions, gives up old ones */
void wl_host_text_tick (WlHost *host, uint64_t now_us);

/** wl_host_adopt_committed() - puts what the local replica has committed in force */
void wl_host_adopt_committed (WlHost *host);

/**
 * wl_host_whole_text() - the change that carries the whole text in force
 * @host: the host
 * @out: receives the change; its bytes stay the host's, until the next text
 */
void wl_host_whole_text (WlHost *host, WlConfigChange *out);

/** wl_host_text_metrics() - appends what the way of the services text holds here */
void wl_host_text_metrics (const WlHost *host, WlBuffer *out);

/** wl_host_pull_from() - asks a node that reports a newer text for it */
void wl_host_pull_from (WlHost *host, uint32_t node, uint64_t number, uint64_t now_us);

/** wl_host_clear_questions() - gives up all questions */
void wl_host_clear_questions (WlHost *host);

/** wl_host_leader() - the control leader as far as known, 0 for none */
uint32_t wl_host_leader (const WlHost *host, uint64_t now_us);

#endif
