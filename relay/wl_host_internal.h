#ifndef WL_HOST_INTERNAL_H
#define WL_HOST_INTERNAL_H

#include "wl_host.h"
#include "wl_load_coverage.h"
#include "wl_recent_changes.h"
#include "wl_load_report_batch.h"
#include "wl_permits.h"

/*
 * Shared by the files of the host: event loop, load reports and membership,
 * quarantined parts, configuration, and files kept across restarts.
 */

enum
{
  WL_HOST_WORK_ITEMS_MAX = 64,        /* items in one load report of changes */
  WL_HOST_OUTBOUND_DELAY_US = 15000,  /* batches load reports to other failure domains */
  WL_HOST_INBOUND_DELAY_US = 25000,   /* batches load reports from other failure domains */
  WL_HOST_FULL_REPORT_US = 2500000,   /* interval of full load reports */
  WL_HOST_SAVE_INTERVAL_US = 1000000, /* shortest time between two writes of a file */
  WL_HOST_SAVE_PARTS_US = 200000,     /* the same for the evidence on parts of prompts */
  WL_HOST_RESAVE_PARTS_US = 5000000,  /* between two writes while a part is quarantined */
  WL_HOST_APPLY_INTERVAL_US = 150000, /* shortest time between two changes of configuration */
  WL_HOST_REPORT_US = 40000,          /* shortest time between two reports, to batch changes */
  /* Below the second after which an operator asks another node, so that no request goes on here
     after that. */
  WL_HOST_EVACUATION_TIMEOUT_US = 900000,
  WL_HOST_EVACUATION_RETRY_US = 100000, /* several tries within that time */
  WL_HOST_EVACUATIONS_MAX = 16,         /* evacuations beyond WL_HOST_LEADER_REQUESTS_MAX */
};

/**
 * struct WlHostLeaderRequest - a request to the control leader without a response yet
 * @id: in messages
 * @handle: for wl_host_cancel(); differs from @id once an evacuation has read its sequence
 * @kind: WL_MESSAGE_SUBMIT, WL_MESSAGE_QUERY, or for an evacuation that has read its sequence
 *   WL_MESSAGE_EVACUATE
 * @version: version of the submitted configuration
 * @config: submitted configuration, compressed, on the heap
 * @sent_us: when it was last sent, or should have been while no leader was known
 * @n_sent: how many times it was sent
 * @created_us: start of its timeout
 * @domain: failure domain of an evacuation, empty for other requests
 * @sequence: sequence of the domain
 * @is_finish: ends the evacuation
 */
typedef struct WlHostLeaderRequest
{
  uint64_t id;
  uint64_t handle;
  WlMessageKind kind;
  uint64_t version;
  WlBytes config;
  WlHostAnswer on_answer;
  void *data;
  uint64_t sent_us;
  uint32_t n_sent;
  uint64_t created_us;
  char domain[WL_LABEL_SIZE];
  uint64_t sequence;
  uint8_t is_finish;
  struct WlHostLeaderRequest *next;
} WlHostLeaderRequest;

/**
 * struct WlHostStart - when a node that has started reached what it needs to serve, 0 before
 * @config_us: a configuration
 * @endpoint_us: an endpoint
 * @ready_us: ready for callers
 * @is_logged: all of it, and the load of most nodes
 */
typedef struct
{
  uint64_t config_us;
  uint64_t endpoint_us;
  uint64_t ready_us;
  uint8_t is_logged;
} WlHostStart;

/** struct WlHostLocalMessage - a message of this node to itself */
typedef struct WlHostLocalMessage
{
  WlBytes bytes; /* encoded, on the heap */
  struct WlHostLocalMessage *next;
} WlHostLocalMessage;

struct WlHost
{
  WlHostOptions options;
  uint64_t boot_id;
  uint64_t started_us;
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlFetchClient *client;
  WlPeers *peers;
  WlMembership *membership;
  WlRoster *roster; /* owned by membership */
  WlFleet *fleet;   /* owned by membership */
  WlLoad *load;
  WlRelay *relay;
  WlIssuer *issuer;
  WlWeb *client_server;
  WlConfigStore *config_store; /* NULL without a disk */
  WlJournal *journal;
  WlLoadCoverage load_coverage;
  WlHostStart start;
  WlHostLocalMessage *first_local; /* queue of messages to this node */
  WlHostLocalMessage *last_local;

  /* The latest configuration known here. */
  uint64_t config_number;    /* 0 for none */
  WlBytes config;            /* the document, see wl_config_document.h; on the heap */
  WlEvacuation *evacuations; /* its evacuations, n_evacuations of them; on the heap */
  uint32_t n_evacuations;
  uint8_t is_document_unreadable; /* evacuations are those of the last readable document */
  WlRecentChanges recent_changes; /* the latest changes that led to it */
  WlBytes full_config;            /* config, compressed, on the heap; empty until needed */
  uint64_t config_pulled_us;      /* when a node was last asked for a newer one */
  uint64_t config_applied_us;     /* when a configuration was last applied */
  uint8_t is_config_pending;      /* not applied yet */

  /* The next committed configuration, until the disk of this replica has it. */
  uint64_t unstored_number;      /* 0 for none */
  WlBytes unstored_config;       /* on the heap */
  uint64_t unstored_until_batch; /* of the journal */

  /* The configuration on disk. */
  uint64_t saved_config_number; /* 0 for none */
  WlBytes saved_config;         /* as read at the start, on the heap; then empty */
  uint64_t config_saved_us;

  WlHostLeaderRequest *leader_requests;
  uint64_t next_leader_request;

  WlWorkItem work_items[WL_HOST_WORK_ITEMS_MAX];
  uint32_t n_work_items;
  WlLoadReportBatch outbound_reports; /* from this failure domain, to be forwarded to the others */
  WlLoadReportBatch inbound_reports;  /* from the others, to be forwarded within this one */
  uint64_t full_report_us;            /* when the last full load report was sent */
  uint64_t endpoints_saved_us;        /* when the endpoints were last saved */
  uint8_t has_new_endpoints;          /* since then */
  uint64_t parts_saved_us;            /* when the evidence on parts was last saved */
  uint64_t parts_saved_revision;      /* wl_quarantine_revision () then */
  uint32_t n_cold;                    /* cold endpoints at the last tick */
  uint64_t next_tick_us;
  uint64_t next_slow_tick_us;
  uint64_t stopping_us;                 /* 0 while running */
  uint64_t first_contact_us;            /* to another node, 0 before */
  uint64_t leader_seen_us;              /* when a control leader was last known, 0 for never */
  uint64_t await_logged_us;             /* when it was last logged why there is no configuration */
  uint32_t founders[WL_HOST_SEEDS_MAX]; /* the seeds of the first start, if this node is one */
  uint32_t n_founders;                  /* 0 for a node that may not found the control group */
  uint8_t is_alone;                     /* no contact to any other node at the last slow tick */
  uint8_t lacks_founders; /* set up at the first start, but its seeds cannot be read */
  uint8_t has_failed;     /* the disk: the node is no replica any more, and stops */
  uint8_t is_closing;     /* no more requests are taken; the process exits soon */
  char address[WL_ADDRESS_SIZE];
};

/** wl_host_send() - sends a message to a node, which may be this one */
void wl_host_send (WlHost *host, uint32_t node, const WlMessage *message);

/** wl_host_send_many() - sends one message to several nodes */
void wl_host_send_many (WlHost *host, const uint32_t *nodes, uint32_t n_nodes,
                        const WlMessage *message);

/**
 * wl_host_broadcast() - sends a message to the nodes that exchange load reports with this one
 *
 * These are all live nodes in a small fleet, those of the own failure domain in
 * a large one.
 */
void wl_host_broadcast (WlHost *host, const WlMessage *message);

/** wl_host_send_to_other_domains() - sends a message to one relay of each other failure domain */
void wl_host_send_to_other_domains (WlHost *host, const WlMessage *message, uint64_t now_us);

/**
 * wl_host_must_pass_on() - whether a report is passed on within the own failure domain
 * @host: the host
 * @from: its sender
 * @is_passed_on: it was passed on before, and ends here whatever the views of the nodes are
 *
 * Return: 1 for a report of a node that is known to be in another failure domain.
 */
int wl_host_must_pass_on (const WlHost *host, uint32_t from, int is_passed_on);

/** wl_host_create_membership() - creates the membership, the roster and the fleet */
void wl_host_create_membership (WlHost *host);

/** wl_host_gossip_tick() - runs the timers of the membership, of full load reports and of saving */
void wl_host_gossip_tick (WlHost *host, uint64_t now_us);

/** wl_host_gossip_receive() - processes a message on nodes, endpoints or load; 0 for others */
int wl_host_gossip_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/**
 * wl_host_load_files() - restores what was known before a restart
 * @host: the host
 * @disk: its disk
 *
 * These are endpoints, the configuration, and the evidence on parts of prompts.
 * Restored endpoints expire unless they register again soon. Newer information
 * of other nodes replaces them. wl_host_config_tick() applies the configuration
 * if no node sends a newer one.
 */
void wl_host_load_files (WlHost *host, WlDisk *disk);

/**
 * wl_host_save_founders() - keeps the seeds of the system's first start
 * @host: the host
 * @disk: its disk, without an identity yet
 *
 * Later starts may have other seeds, but every seed must found the control group with the same
 * ones. They are durable before the identity says that the disk may take part.
 *
 * Return: WL_OK or the error of the disk.
 */
WlError wl_host_save_founders (const WlHost *host, WlDisk *disk);

/**
 * wl_host_load_founders() - reads what wl_host_save_founders() kept
 * @host: the host; receives the founders if it is one of them
 * @disk: its disk, which was set up at the first start
 */
void wl_host_load_founders (WlHost *host, WlDisk *disk);

/** wl_host_save_files() - saves what has changed, at most every WL_HOST_SAVE_INTERVAL_US */
void wl_host_save_files (WlHost *host, uint64_t now_us);

/**
 * wl_host_save_parts() - saves the evidence on parts of prompts when it has changed
 * @host: the host
 * @now_us: monotonic time
 *
 * At most every WL_HOST_SAVE_PARTS_US. While a part is quarantined also after
 * WL_HOST_RESAVE_PARTS_US, since its times go on, and a write may have failed.
 */
void wl_host_save_parts (WlHost *host, uint64_t now_us);

/** wl_host_flush_work() - sends the queued work items, and batches of load reports that are due */
void wl_host_flush_work (WlHost *host);

/** wl_host_forward_reports() - sends the batches of load reports that wait, whether due or not */
void wl_host_forward_reports (WlHost *host, uint64_t now_us);

/** wl_host_start_begin() - begins to wait for full load reports */
void wl_host_start_begin (WlHost *host);

/** wl_host_start_tick() - tells the relay whether the load is complete, and asks for what is not */
void wl_host_start_tick (WlHost *host, uint64_t now_us);

/** wl_host_start_observe() - notes what a node that has started has reached, and logs it once */
void wl_host_start_observe (WlHost *host, uint64_t now_us);

/** wl_host_answer_load() - sends a node that asks the full reports of nodes of other domains */
void wl_host_answer_load (WlHost *host, uint32_t to, uint64_t now_us);

/** wl_host_write_start_metrics() - appends the metrics of the start */
void wl_host_write_start_metrics (const WlHost *host, WlBuffer *out);

/** wl_host_report_work() - queues a work item for the other nodes; callback of the relay */
void wl_host_report_work (void *host, const WlWorkItem *item);

/** wl_host_report_ejection() - reports an endpoint that this node ejected; callback of the relay */
void wl_host_report_ejection (void *host, const WlEndpoint *endpoint);

/** wl_host_flush_parts() - sends what the quarantine has to tell other nodes */
void wl_host_flush_parts (WlHost *host, uint64_t now_us);

/** wl_host_send_parts() - tells a node that joins of all quarantined parts and restored ends */
void wl_host_send_parts (WlHost *host, uint32_t node, uint64_t now_us);

/** wl_host_broadcast_quarantined() - tells all nodes of all quarantined parts */
void wl_host_broadcast_quarantined (WlHost *host, uint64_t now_us);

/** wl_host_receive_parts() - processes a WL_MESSAGE_PART_REPORT */
void wl_host_receive_parts (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/**
 * wl_host_may_try_part() - whether this node runs the trials of a part; callback of the relay
 *
 * It is one of the nodes that accept requests, the same by the view of each.
 */
int wl_host_may_try_part (void *host, uint64_t part);

/** wl_host_flush_limits() - sends what is known of limits, asks for permits, and answers to asks */
void wl_host_flush_limits (WlHost *host, uint64_t now_us);

/** wl_host_send_limits() - tells a node, or all for 0, of all limits */
void wl_host_send_limits (WlHost *host, uint32_t node, uint64_t now_us);

/** wl_host_receive_limits() - processes a message on limits or permits; 0 for others */
int wl_host_receive_limits (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/** wl_host_limits_tick() - drops limits that are over; finds the issuers of all services anew */
void wl_host_limits_tick (WlHost *host, uint64_t now_us);

/** wl_host_config_receive() - processes a message on the configuration; 0 for others */
int wl_host_config_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us);

/** wl_host_config_tick() - applies configurations that are due; repeats or ends leader requests */
void wl_host_config_tick (WlHost *host, uint64_t now_us);

/** wl_host_adopt_committed() - adopts and forwards what the local replica has committed */
void wl_host_adopt_committed (WlHost *host);

/**
 * wl_host_full_config() - makes a change that contains the full configuration
 * @host: the host
 * @out: receives the change; its bytes are the host's, valid until the configuration changes
 */
void wl_host_full_config (WlHost *host, WlConfigChange *out);

/** wl_host_write_config_metrics() - appends the metrics of the configuration and its replication */
void wl_host_write_config_metrics (const WlHost *host, WlBuffer *out);

/** wl_host_pull_config() - requests newer configurations from a node that has @number */
void wl_host_pull_config (WlHost *host, uint32_t node, uint64_t number, uint64_t now_us);

/** wl_host_fail_leader_requests() - ends all requests to the leader with WL_HOST_UNKNOWN */
void wl_host_fail_leader_requests (WlHost *host);

/** wl_host_drop_leader_requests() - frees all requests to the leader without calling back */
void wl_host_drop_leader_requests (WlHost *host);

/**
 * wl_host_is_replica() - whether this node takes part in the control group
 *
 * Without a disk it never does. After a failed sync what the replica has in memory may be more
 * than its disk holds, so it must not act on it, nor vote or acknowledge.
 *
 * Return: 1 or 0.
 */
int wl_host_is_replica (const WlHost *host);

/** wl_host_leader() - the control leader as known here, 0 for none */
uint32_t wl_host_leader (const WlHost *host, uint64_t now_us);

#endif
