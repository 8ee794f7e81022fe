#ifndef WL_MESSAGE_NODES_H
#define WL_MESSAGE_NODES_H

#include "wl_command.h"

/*
 * Messages for membership, registered endpoints, load and the configuration;
 * for the rules of all messages see wl_message.h. A relay here is a node that
 * reports to others about the nodes and endpoints of its failure domain (see
 * wl_view.h), not the WlRelay that forwards requests.
 */

/** struct WlNodeId - id of a node; a struct because WL_FIELD_ARRAY holds structs */
typedef struct
{
  uint32_t node;
} WlNodeId;

/**
 * enum WlSubscription - reports that the sender of a status requests
 * @WL_SUBSCRIBE_NONE: none
 * @WL_SUBSCRIBE_REPORTS: reports of changes, until the subscription expires
 * @WL_SUBSCRIBE_WITH_FULL_REPORT: the same after a full report, which is left out if one was sent
 *   within WL_VIEW_FULL_INTERVAL_US
 */
typedef enum
{
  WL_SUBSCRIBE_NONE,
  WL_SUBSCRIBE_REPORTS,
  WL_SUBSCRIBE_WITH_FULL_REPORT,
} WlSubscription;

/**
 * struct WlNodeStatus - heartbeat of a node
 * @node: node id, which is its IPv4 address
 * @boot: random id of the process, drawn at its start
 * @sequence: increases with each status of one boot
 * @domain: failure domain
 * @client_port: port for callers
 * @has_disk: the node has a data folder, so it can hold a replica of the config store
 * @is_ready: the node accepts requests
 * @is_draining: the node is shutting down
 * @config_number: number of the configuration that the node uses
 * @leader: control leader that the node knows of, 0 for none
 * @peers: nodes that it believes alive, @n_peers of them; empty in a large fleet
 * @subscription: a WlSubscription
 * @age_us: in reports: time since the reporting relay received the status
 * @n_known: nodes that it counts, lost ones included, see wl_warmup.h; 0 if it does not count
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  uint64_t sequence;
  char domain[WL_LABEL_SIZE];
  uint32_t client_port;
  uint8_t has_disk;
  uint8_t is_ready;
  uint8_t is_draining;
  uint64_t config_number;
  uint32_t leader;
  WlNodeId *peers;
  uint32_t n_peers;
  uint8_t subscription;
  uint64_t age_us;
  uint32_t n_known;
} WlNodeStatus;

/**
 * struct WlEndpointRecord - latest registration of one endpoint
 * @id: id under which the endpoint registers; may be kept across restarts
 * @service: service that it belongs to
 * @domain: failure domain
 * @address: IPv4 address, network byte order
 * @port: TCP port
 * @slots: requests processed at once
 * @started_ms: wall time of the endpoint's start in milliseconds; the later of two
 *   starts under one id counts
 * @sequence: increases with each registration of one start
 * @age_us: time since a node received the registration from the endpoint itself; in
 *   membership reports also 0 or WL_FLEET_OVERDUE_US, see reported_age()
 * @is_draining: accepts no new requests
 * @has_left: has deregistered
 * @is_restored: read from a file that a node kept across its restart; no registration since
 * @cold_left_ms: how long it stays cold after the message was sent, 0 for warm,
 *   WL_ENDPOINT_COLD_UNKNOWN when it does not say
 */
typedef struct
{
  char id[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char domain[WL_LABEL_SIZE];
  uint32_t address;
  uint32_t port;
  uint32_t slots;
  uint64_t started_ms;
  uint64_t sequence;
  uint64_t age_us;
  uint8_t is_draining;
  uint8_t has_left;
  uint8_t is_restored;
  uint32_t cold_left_ms;
} WlEndpointRecord;

#define WL_ENDPOINT_COLD_UNKNOWN UINT32_MAX

/** struct WlEndpoints - registrations forwarded to other nodes */
typedef struct
{
  WlEndpointRecord *records;
  uint32_t n_records;
} WlEndpoints;

/**
 * enum WlWorkPhase - progress of one request at an endpoint
 * @WL_WORK_SENT: sent; queued or in prefill
 * @WL_WORK_DECODING: in decode: the first output has arrived
 * @WL_WORK_ENDED: ended; it occupies nothing there
 */
typedef enum
{
  WL_WORK_SENT = 1,
  WL_WORK_DECODING,
  WL_WORK_ENDED,
} WlWorkPhase;

/**
 * struct WlWorkItem - load report entry: one request of a node at one endpoint
 * @id: number of the request, unique within the node's boot
 * @endpoint: key of the endpoint, see wl_fleet_key()
 * @phase: a WlWorkPhase
 * @is_helper_part: part of a prompt, prefilled here for a request that decodes at
 *   another endpoint; engines prefill such parts before other prompts
 * @kv_tokens: KV cache tokens that it needs at the endpoint
 * @prefill_tokens: prompt tokens to prefill there
 * @prefill_us: predicted time of this prefill
 * @output_tokens: tokens expected to be decoded
 * @gap_ms: longest inter-token gap that the caller tolerates, in milliseconds
 * @predicted_ms: predicted time to the first output in milliseconds, 0 for
 *   parts
 */
typedef struct
{
  uint64_t id;
  uint64_t endpoint;
  uint8_t phase;
  uint8_t is_helper_part;
  uint32_t kv_tokens;
  uint32_t prefill_tokens;
  uint32_t prefill_us;
  uint32_t output_tokens;
  uint32_t gap_ms;
  uint32_t predicted_ms;
} WlWorkItem;

/**
 * struct WlLoadReport - load report of one node
 * @boot: boot of the node
 * @is_full: a full report: requests that it does not list have ended
 * @items: the entries, @n_items of them
 * @node: node that sent the requests; 0 for the sender of the message
 * @asks_others: the sender, which has just started, asks for full reports of nodes of failure
 *   domains that do not report to it
 */
typedef struct
{
  uint64_t boot;
  uint8_t is_full;
  WlWorkItem *items;
  uint32_t n_items;
  uint32_t node;
  uint8_t asks_others;
} WlLoadReport;

/** struct WlLoadReports - load reports of several nodes, forwarded together */
typedef struct
{
  WlLoadReport *reports;
  uint32_t n_reports;
} WlLoadReports;

/**
 * struct WlSuspicion - the sender has ejected an endpoint after failures
 * @endpoint: key of the endpoint
 * @eject_us: time for which the sender gives it no requests
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t eject_us;
} WlSuspicion;

/**
 * struct WlPartSuspect - a part of a prompt that an end of an endpoint speaks against
 * @part: id of the part
 * @service: hash of the service's name
 * @customer: hash of the name of the customer whose request had it, 0 for none
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t customer;
} WlPartSuspect;

/**
 * struct WlPartEnd - an endpoint ended under requests that it had not written for
 * @endpoint: key of the endpoint
 * @age_us: time since then
 * @suspects: parts of these requests, @n_suspects of them, in the order of their prompts
 * @is_restored: from before a restart of all that told of it; @age_us leaves the time out in which
 *   they did not run
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t age_us;
  WlPartSuspect *suspects;
  uint32_t n_suspects;
  uint8_t is_restored;
} WlPartEnd;

/**
 * struct WlSoundPart - a part of a response that went on or was complete
 * @part: id of the part
 * @service: hash of the service's name
 * @age_us: time since then
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t age_us;
} WlSoundPart;

/**
 * struct WlQuarantinedPart - a part whose requests are refused
 * @part: id of the part
 * @service: hash of the service's name
 * @customer: hash of the name of the customer whose requests are refused, 0 for all
 * @n_ends: endpoints that ended under it before it was quarantined
 * @n_trials: trials since then
 * @age_us: time since it was quarantined
 * @trial_us: time until the next trial
 * @unused_us: time since a request with it was last refused
 * @is_restored: as in WlPartEnd, for all times
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t customer;
  uint32_t n_ends;
  uint32_t n_trials;
  uint64_t age_us;
  uint64_t trial_us;
  uint64_t unused_us;
  uint8_t is_restored;
} WlQuarantinedPart;

/**
 * struct WlPartReport - evidence on parts of prompts, see wl_quarantine.h
 * @is_passed_on: a node has passed it on within its failure domain, where it ends
 */
typedef struct
{
  WlPartEnd *ends;
  uint32_t n_ends;
  WlSoundPart *sound;
  uint32_t n_sound;
  WlQuarantinedPart *quarantined;
  uint32_t n_quarantined;
  uint8_t is_passed_on;
} WlPartReport;

/** struct WlEndpointKey - key of an endpoint; a struct because WL_FIELD_ARRAY holds structs */
typedef struct
{
  uint64_t key;
} WlEndpointKey;

/**
 * struct WlLimitWord - what a response of an endpoint says of its limit
 * @endpoint: key of the endpoint
 * @started_ms: start of the endpoint
 * @has_ended: the response names no limit
 * @rate: requests that it accepts from all nodes in 1,000 s
 * @sent_age_us: time since the request was sent
 * @heard_age_us: time since the response arrived
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t started_ms;
  uint8_t has_ended;
  uint64_t rate;
  uint64_t sent_age_us;
  uint64_t heard_age_us;
} WlLimitWord;

/**
 * struct WlLimitReport - words on limits, see wl_limits.h
 * @is_passed_on: as in WlPartReport
 */
typedef struct
{
  WlLimitWord *words;
  uint32_t n_words;
  uint8_t is_passed_on;
} WlLimitReport;

enum
{
  WL_PERMIT_EXCLUDED_MAX = 8, /* endpoints that an ask excludes */
};

/**
 * struct WlPermitAsk - asks for a permit to send a request to an endpoint with a limit
 * @id: id of the ask at its node
 * @service: hash of the service's name
 * @customer: hash of the customer's name, 0 for none
 * @max_wait_us: how long the request can wait; 0 for an answer at once
 * @excluded: keys of endpoints that were already tried, @n_excluded of them
 */
typedef struct
{
  uint64_t id;
  uint64_t service;
  uint64_t customer;
  uint64_t max_wait_us;
  WlEndpointKey *excluded;
  uint32_t n_excluded;
} WlPermitAsk;

/**
 * struct WlPermitAnswer - answers an ask
 * @id: id of the ask
 * @endpoint: key of the endpoint that one request may be sent to, 0 when denied
 * @retry_after_us: time until a permit is to be expected, when denied
 * @waited_us: time from the arrival of the ask at the issuer until its permit was issued
 */
typedef struct
{
  uint64_t id;
  uint64_t endpoint;
  uint64_t retry_after_us;
  uint64_t waited_us;
} WlPermitAnswer;

/**
 * struct WlPermitReturn - returns a permit that was not used
 * @service: hash of the service's name
 * @customer: hash of the customer's name, 0 for none
 * @endpoint: key of the endpoint
 * @id: id of the ask at its node
 */
typedef struct
{
  uint64_t service;
  uint64_t customer;
  uint64_t endpoint;
  uint64_t id;
} WlPermitReturn;

/**
 * enum WlReportScope - what a report covers
 * @WL_REPORT_ALL: what the relay has direct evidence of and what relays of other
 *   failure domains reported; sent to nodes of its own failure domain
 * @WL_REPORT_DOMAIN: what the relay has direct evidence of; sent to relays of other
 *   failure domains
 * @WL_REPORT_INTRODUCTION: some nodes to contact, sent to a node that joins; no
 *   evidence that they are alive
 * @WL_REPORT_SCOPES: number of scopes
 */
typedef enum
{
  WL_REPORT_ALL,
  WL_REPORT_DOMAIN,
  WL_REPORT_INTRODUCTION,
  WL_REPORT_SCOPES,
} WlReportScope;

/**
 * struct WlMembershipReport - a relay's report on nodes and endpoints
 * @sender: status of the relay
 * @scope: a WlReportScope
 * @is_full: a full report: lists everything in scope; otherwise the latest changes
 * @node_digest: digest over all nodes in scope, see wl_view.h
 * @endpoint_digest: digest over all endpoints in scope
 * @nodes: changed nodes, @n_nodes of them
 * @removed_nodes: nodes no longer in scope, @n_removed_nodes of them
 * @endpoints: changed endpoints, @n_endpoints of them
 * @removed_endpoints: endpoints no longer in scope, @n_removed_endpoints of them
 * @n_alive: nodes that the relay believes alive, itself included
 */
typedef struct
{
  WlNodeStatus sender;
  uint8_t scope;
  uint8_t is_full;
  uint64_t node_digest;
  uint64_t endpoint_digest;
  WlNodeStatus *nodes;
  uint32_t n_nodes;
  WlNodeId *removed_nodes;
  uint32_t n_removed_nodes;
  WlEndpointRecord *endpoints;
  uint32_t n_endpoints;
  WlEndpointKey *removed_endpoints;
  uint32_t n_removed_endpoints;
  uint32_t n_alive;
} WlMembershipReport;

/** struct WlConfigPull - requests the configuration if it is newer than @number */
typedef struct
{
  uint64_t number;
} WlConfigPull;

/**
 * struct WlConfigPush - a committed configuration
 * @number: number of the configuration
 * @change: delta from configuration @change.replaces; a full configuration
 *   has 0 there
 */
typedef struct
{
  uint64_t number;
  WlConfigChange change;
} WlConfigPush;

extern const WlField wl_node_status_fields[];
extern const WlField wl_endpoints_fields[];
extern const WlField wl_load_report_fields[];
extern const WlField wl_load_reports_fields[];
extern const WlField wl_suspicion_fields[];
extern const WlField wl_membership_report_fields[];
extern const WlField wl_part_report_fields[];
extern const WlField wl_limit_report_fields[];
extern const WlField wl_permit_ask_fields[];
extern const WlField wl_permit_answer_fields[];
extern const WlField wl_permit_return_fields[];
extern const WlField wl_config_pull_fields[];
extern const WlField wl_config_push_fields[];

#endif
