#ifndef WL_MESSAGE_H
#define WL_MESSAGE_H

#include "wl_command.h"
#include "wl_message_nodes.h"

/*
 * Messages between nodes. Any message may be lost, duplicated, delayed or
 * reordered, so receivers are idempotent. Cell and entry: see wl_command.h.
 * Times and durations are in microseconds.
 */

enum
{
  WL_PREFIX_HASHES_MAX = 12, /* prefix hashes in one placement request, at most */
  WL_GANG_MAX = 8,           /* endpoints that may share the prefill of one prompt, at most */
};

/** struct WlVoteRequest - Raft RequestVote; @is_pre_vote: pre-vote, which changes no state */
typedef struct
{
  uint64_t term;
  uint32_t candidate;
  uint64_t incarnation;
  uint64_t last_index; /* of the candidate's log */
  uint64_t last_term;
  uint8_t is_pre_vote;
} WlVoteRequest;

/** struct WlVoteReply - reply to WlVoteRequest; @incarnation identifies the voter's disk */
typedef struct
{
  uint64_t term;
  uint32_t voter;
  uint64_t incarnation;
  uint8_t is_pre_vote;
  uint8_t granted;
} WlVoteReply;

/** struct WlLogEntry - one entry of the replicated log */
typedef struct
{
  uint64_t term;
  uint64_t index;
  WlBytes command;
} WlLogEntry;

/** struct WlAppendRequest - Raft AppendEntries; @round numbers the leader's heartbeats */
typedef struct
{
  uint64_t term;
  uint32_t leader;
  uint64_t to_incarnation; /* of the addressed replica; others ignore the message */
  uint64_t round;
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t commit; /* highest committed index */
  WlLogEntry *entries;
  uint32_t n_entries;
} WlAppendRequest;

/** struct WlAppendReply - entries up to @match are synced; if not @ok, send those after it */
typedef struct
{
  uint64_t term;
  uint32_t follower;
  uint64_t incarnation;
  uint64_t round;
  uint8_t ok;
  uint64_t match;
} WlAppendReply;

/** struct WlSnapshotChunk - part of a snapshot, for a replica whose next entry is compacted */
typedef struct
{
  uint64_t term;
  uint32_t leader;
  uint64_t to_incarnation;
  uint64_t round;
  uint64_t index; /* last log entry that the snapshot covers */
  uint64_t index_term;
  uint32_t offset; /* of @data in the snapshot, in bytes */
  uint32_t total;  /* size of the snapshot in bytes */
  WlBytes data;
} WlSnapshotChunk;

/** struct WlSnapshotReply - the first @offset bytes of a snapshot have arrived */
typedef struct
{
  uint64_t term;
  uint32_t follower;
  uint64_t incarnation;
  uint64_t round;
  uint64_t index;
  uint32_t offset;
} WlSnapshotReply;

/** struct WlReplicaHello - announces a replica to its peers; @empty: it has no state yet */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
  uint8_t empty;
  uint8_t reply; /* answers a hello; is not answered itself */
} WlReplicaHello;

/** struct WlLeaseRenewal - request of an entry to the control leader to renew its lease */
typedef struct
{
  WlMember member;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t sent_us;       /* on the entry's clock; the lease counts from it */
  uint64_t config_number; /* configuration and directory that the entry has */
  uint64_t directory_version;
  uint8_t leaving;
} WlLeaseRenewal;

/**
 * struct WlLeaseRenewalReply - renews the lease and carries what is newer than the entry's copy
 *
 * With @has_directory, @evacuations are those of all failure domains.
 */
typedef struct
{
  uint64_t sequence;
  uint64_t sent_us; /* copied from the request */
  uint32_t leader;
  uint64_t config_number;
  uint8_t has_delta;  /* @deltas lead from the entry's configuration to @config_number */
  uint8_t has_config; /* @config is the full configuration */
  WlConfigChange *deltas;
  uint32_t n_deltas;
  WlBytes config;
  uint64_t directory_version;
  uint8_t has_directory; /* @members and @cells are the full directory */
  WlMember *members;
  uint32_t n_members;
  WlCellLease *cells;
  uint32_t n_cells;
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
} WlLeaseRenewalReply;

/** struct WlConfigNotice - has an entry renew at once: configuration or directory changed */
typedef struct
{
  uint64_t config_number;
  uint64_t directory_version;
} WlConfigNotice;

/**
 * enum WlSubmitOutcome - outcome of a submitted configuration
 * @WL_SUBMIT_ACCEPTED: committed now, or earlier under the same number and digest
 * @WL_SUBMIT_CONFLICT: another configuration has the number
 * @WL_SUBMIT_INVALID: the configuration is invalid
 * @WL_SUBMIT_UNAVAILABLE: not committed within the time limit, or no leader had
 *   room for it in its queue
 * @WL_SUBMIT_TOO_OLD: the number precedes the retained history
 */
typedef enum
{
  WL_SUBMIT_ACCEPTED = 1,
  WL_SUBMIT_CONFLICT,
  WL_SUBMIT_INVALID,
  WL_SUBMIT_UNAVAILABLE,
  WL_SUBMIT_TOO_OLD,
} WlSubmitOutcome;

/** struct WlSubmit - submits a full configuration */
typedef struct
{
  uint64_t id; /* chosen by the sender, copied into the reply */
  uint32_t node;
  uint64_t replaces; /* number to replace; to a WlConfigStore: version of @config */
  WlBytes config;
  uint8_t is_compressed; /* @config is compressed, see wl_config_compress() */
} WlSubmit;

/** struct WlSubmitReply - outcome of a submission; @digest: of configuration @number */
typedef struct
{
  uint64_t id;
  uint8_t outcome; /* a WlSubmitOutcome */
  uint64_t number;
  uint8_t digest[WL_DIGEST_SIZE];
  uint64_t current; /* number of the current configuration */
} WlSubmitReply;

/**
 * struct WlEvacuate - starts or ends the evacuation of a failure domain; to the control leader
 * @id: as in WlSubmit; the reply is a WlSubmitReply
 * @node: the sender
 * @domain: the failure domain
 * @sequence: sequence of the domain that the sender has read
 * @is_finish: ends the evacuation instead of starting it
 */
typedef struct
{
  uint64_t id;
  uint32_t node;
  char domain[WL_LABEL_SIZE];
  uint64_t sequence;
  uint8_t is_finish;
} WlEvacuate;

/** struct WlQuery - queries the leader for its status and a configuration */
typedef struct
{
  uint64_t id; /* as in WlSubmit */
  uint32_t node;
  uint64_t number; /* wanted one, 0 for none; to a WlConfigStore: the one that the sender has */
} WlQuery;

/** struct WlEntryStatus - configuration and lease of one entry, as the leader knows them */
typedef struct
{
  uint32_t node;
  uint64_t config_number;
  uint64_t last_contact_age_us; /* time since its latest renewal request */
  uint8_t lease_valid;
} WlEntryStatus;

/** struct WlQueryReply - status of the control group and of the entries */
typedef struct
{
  uint64_t id;
  uint32_t leader;
  uint64_t term;
  uint64_t commit;
  uint64_t config_number;
  uint64_t config_in_force; /* lowest configuration in use by an entry whose lease may be valid */
  WlEntryStatus *entries;
  uint32_t n_entries;
  WlReplica *voters;
  uint32_t n_voters;
  WlReceiptRoot *roots;
  uint32_t n_roots;
  uint32_t n_claims;
  uint8_t has_config;
  WlBytes config;
  uint8_t is_compressed;     /* @config is compressed, see wl_config_compress() */
  WlEvacuation *evacuations; /* not set by a WlConfigStore: its document has them */
  uint32_t n_evacuations;
} WlQueryReply;

/** struct WlClaim - claims an idempotency key, which lets its request run once */
typedef struct
{
  WlClaimRecord record;
} WlClaim;

/** struct WlClaimReply - the claim that the key has; @granted: it is @id's, which may run */
typedef struct
{
  uint64_t id;
  uint8_t granted;
  WlClaimRecord record;
} WlClaimReply;

/** struct WlClaimEnd - reports the outcome of a claimed request */
typedef struct
{
  WlClaimRecord record;
} WlClaimEnd;

/** struct WlClaimEndReply - the outcome of request @id is committed */
typedef struct
{
  uint64_t id;
} WlClaimEndReply;

/** struct WlRoot - submits an entry's receipt root for commitment */
typedef struct
{
  WlReceiptRoot root;
} WlRoot;

/** struct WlNotLeader - sent back by a replica that is not the leader; @leader: 0 if unknown */
typedef struct
{
  uint32_t leader;
} WlNotLeader;

/** struct WlPrefixHash - hash of the first @tokens tokens of a prompt */
typedef struct
{
  uint64_t hash;
  uint32_t tokens;
} WlPrefixHash;

/** struct WlExcludedEndpoint - endpoint that failed an earlier attempt of the request */
typedef struct
{
  uint64_t endpoint;
} WlExcludedEndpoint;

/** struct WlPlacementRequest - request to the cell owner to reserve endpoints for one attempt */
typedef struct
{
  uint32_t node;
  uint64_t request;
  uint32_t attempt;
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  char customer[WL_LABEL_SIZE];
  char domain[WL_LABEL_SIZE];
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t remaining_us; /* time left until the request's time limit */
  uint64_t waited_us;    /* time since the entry admitted the request */
  WlPrefixHash *prefixes;
  uint32_t n_prefixes;
  WlExcludedEndpoint *excluded;
  uint32_t n_excluded;
} WlPlacementRequest;

/** struct WlGrantEndpoint - reservation on one endpoint of a grant */
typedef struct
{
  uint64_t endpoint;
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  uint64_t kv_tokens;
} WlGrantEndpoint;

/** struct WlGrant - endpoints on which an attempt may run for @expires_us after receipt */
typedef struct
{
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint64_t fence; /* fencing token of the cell owner */
  uint64_t request;
  uint32_t attempt;
  uint32_t priority;
  uint64_t cached_tokens; /* prompt tokens found in the endpoint's KV cache */
  uint64_t expires_us;
  uint64_t queued_us; /* time spent in the owner's queue */
  WlGrantEndpoint *endpoints;
  uint32_t n_endpoints;
} WlGrant;

/**
 * enum WlRefusalReason - why a request is refused
 * @WL_REFUSAL_NONE: not refused
 * @WL_REFUSAL_TOO_LARGE: the prompt exceeds the capacity of the cell or the service's limit
 * @WL_REFUSAL_QUEUE_FULL: the queue of the cell or customer is full
 * @WL_REFUSAL_TIME_LIMIT: the request cannot finish within its time limit
 * @WL_REFUSAL_NO_ENDPOINT: the cell has no endpoint
 * @WL_REFUSAL_CUSTOMER_CAP: the customer has used up its share of the queue
 * @WL_REFUSAL_NO_CONFIG: the entry has no configuration that it may use
 * @WL_REFUSAL_DRAINING: the entry is shutting down
 * @WL_REFUSAL_NO_OWNER: the cell has no owner at the moment
 * @WL_REFUSAL_CLAIM_TAKEN: another request holds the claim on the idempotency key
 * @WL_REFUSAL_CLAIM_UNKNOWN: an earlier run under the key has an unknown outcome
 * @WL_REFUSAL_KEY_REUSED: the key was used before by a request with another digest
 * @WL_REFUSAL_OVERLOAD: the entry has too many open requests
 * @WL_REFUSAL_EVACUATED: all usable endpoints of the cell are in evacuated failure domains
 */
typedef enum
{
  WL_REFUSAL_NONE,
  WL_REFUSAL_TOO_LARGE,
  WL_REFUSAL_QUEUE_FULL,
  WL_REFUSAL_TIME_LIMIT,
  WL_REFUSAL_NO_ENDPOINT,
  WL_REFUSAL_CUSTOMER_CAP,
  WL_REFUSAL_NO_CONFIG,
  WL_REFUSAL_DRAINING,
  WL_REFUSAL_NO_OWNER,
  WL_REFUSAL_CLAIM_TAKEN,
  WL_REFUSAL_CLAIM_UNKNOWN,
  WL_REFUSAL_KEY_REUSED,
  WL_REFUSAL_OVERLOAD,
  WL_REFUSAL_EVACUATED,
  WL_REFUSALS,
} WlRefusalReason;

/** struct WlPlacementRefusal - the cell owner rejects the attempt */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint8_t reason; /* a WlRefusalReason */
  uint64_t retry_after_us;
} WlPlacementRefusal;

/** struct WlHeldGrant - a grant that its entry still uses */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  char customer[WL_LABEL_SIZE];
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint8_t first_token; /* as in WlAttemptUpdate */
  WlGrantEndpoint *endpoints;
  uint32_t n_endpoints;
} WlHeldGrant;

/**
 * enum WlAttemptResult - how an attempt ended, for the cell owner's accounting
 * @WL_ATTEMPT_FINISHED: the engine confirmed the end
 * @WL_ATTEMPT_CANCELLED: the entry cancelled it; the engine has not confirmed
 * @WL_ATTEMPT_FAILED: the endpoint failed or stopped responding
 * @WL_ATTEMPT_NOT_SENT: nothing was sent to the endpoint
 */
typedef enum
{
  WL_ATTEMPT_FINISHED = 1,
  WL_ATTEMPT_CANCELLED,
  WL_ATTEMPT_FAILED,
  WL_ATTEMPT_NOT_SENT,
} WlAttemptResult;

/** struct WlAttemptUpdate - progress or end of one attempt, reported to the cell owner */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint8_t first_token; /* the first token has arrived */
  uint8_t ended;
  uint8_t result; /* a WlAttemptResult, when @ended */
  uint64_t cached_tokens;
  uint64_t prefill_us;
  uint64_t failed_endpoint; /* endpoint of the grant that failed, 0 for none */
} WlAttemptUpdate;

/** struct WlGrantRenewal - renews an entry's @n_held grants in a cell; @full: @grants has all */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint64_t fence;
  uint64_t sequence;
  uint8_t full;
  uint32_t n_held;
  WlHeldGrant *grants;
  uint32_t n_grants;
  WlAttemptUpdate *updates;
  uint32_t n_updates;
} WlGrantRenewal;

/** struct WlGrantRenewalReply - reply to WlGrantRenewal; @want_full: the next must be full */
typedef struct
{
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint64_t fence;
  uint64_t sequence;
  uint8_t want_full;
  uint8_t ready; /* the cell has an endpoint that accepts requests */
} WlGrantRenewalReply;

/** struct WlRunningAttempt - an attempt that still occupies KV memory of an endpoint */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
} WlRunningAttempt;

/** struct WlLoadedModel - a model that an endpoint has loaded */
typedef struct
{
  char name[WL_LABEL_SIZE];
  char version[WL_LABEL_SIZE];
} WlLoadedModel;

/** struct WlEndpointReport - state of an endpoint, forwarded to the cell owner */
typedef struct
{
  uint64_t endpoint;
  uint64_t incarnation;
  uint64_t sequence;
  char name[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  char domain[WL_LABEL_SIZE];
  uint64_t kv_capacity; /* in tokens */
  uint64_t kv_used;
  uint32_t slots; /* requests processed at once */
  uint8_t leaving;
  uint64_t fence; /* fencing token of the cell owner, as the forwarding node knows it */
  WlRunningAttempt *running;
  uint32_t n_running;
  WlLoadedModel *loaded;
  uint32_t n_loaded;
  WlPrefixHash *cached; /* prefixes that entered the KV cache since the last report */
  uint32_t n_cached;
  WlPrefixHash *evicted;
  uint32_t n_evicted;
} WlEndpointReport;

/**
 * enum WlMessageKind - kind of a message
 *
 * The numbers are part of the protocol and are never reused.
 */
typedef enum
{
  WL_MESSAGE_VOTE_REQUEST = 1,
  WL_MESSAGE_VOTE_REPLY = 2,
  WL_MESSAGE_APPEND_REQUEST = 3,
  WL_MESSAGE_APPEND_REPLY = 4,
  WL_MESSAGE_SNAPSHOT_CHUNK = 5,
  WL_MESSAGE_SNAPSHOT_REPLY = 6,
  WL_MESSAGE_REPLICA_HELLO = 7,
  WL_MESSAGE_RENEW = 8,
  WL_MESSAGE_RENEW_REPLY = 9,
  WL_MESSAGE_CONFIG_NOTICE = 10,
  WL_MESSAGE_SUBMIT = 11,
  WL_MESSAGE_SUBMIT_REPLY = 12,
  WL_MESSAGE_QUERY = 13,
  WL_MESSAGE_QUERY_REPLY = 14,
  WL_MESSAGE_CLAIM = 15,
  WL_MESSAGE_CLAIM_REPLY = 16,
  WL_MESSAGE_CLAIM_END = 17,
  WL_MESSAGE_CLAIM_END_REPLY = 18,
  WL_MESSAGE_ROOT = 19,
  WL_MESSAGE_NOT_LEADER = 20,
  WL_MESSAGE_PLACE = 21,
  WL_MESSAGE_GRANT = 22,
  WL_MESSAGE_PLACE_REFUSAL = 23,
  WL_MESSAGE_HOLD = 24,
  WL_MESSAGE_HOLD_REPLY = 25,
  WL_MESSAGE_ENDPOINT_REPORT = 26,
  WL_MESSAGE_NODE_STATUS = 27,
  WL_MESSAGE_ENDPOINTS = 28,
  WL_MESSAGE_LOAD_REPORT = 29,
  WL_MESSAGE_CONFIG_PULL = 30,
  WL_MESSAGE_CONFIG_PUSH = 31,
  WL_MESSAGE_SUSPICION = 32,
  WL_MESSAGE_NODE_REPORT = 33,
  WL_MESSAGE_LOAD_REPORTS = 34,
  WL_MESSAGE_PART_REPORT = 35,
  WL_MESSAGE_LIMIT_REPORT = 36,
  WL_MESSAGE_PERMIT_ASK = 37,
  WL_MESSAGE_PERMIT_ANSWER = 38,
  WL_MESSAGE_PERMIT_RETURN = 39,
  WL_MESSAGE_EVACUATE = 40,
  WL_MESSAGE_KINDS,
} WlMessageKind;

/**
 * struct WlMessage - one message between nodes
 * @kind: selects the member of @u
 * @u: the content
 */
typedef struct
{
  WlMessageKind kind;
  union
  {
    WlVoteRequest vote_request;
    WlVoteReply vote_reply;
    WlAppendRequest append;
    WlAppendReply append_reply;
    WlSnapshotChunk snapshot;
    WlSnapshotReply snapshot_reply;
    WlReplicaHello hello;
    WlLeaseRenewal renew;
    WlLeaseRenewalReply renew_reply;
    WlConfigNotice notice;
    WlSubmit submit;
    WlSubmitReply submit_reply;
    WlQuery query;
    WlQueryReply query_reply;
    WlClaim claim;
    WlClaimReply claim_reply;
    WlClaimEnd claim_end;
    WlClaimEndReply claim_end_reply;
    WlRoot root;
    WlNotLeader not_leader;
    WlPlacementRequest place;
    WlGrant grant;
    WlPlacementRefusal refusal;
    WlGrantRenewal hold;
    WlGrantRenewalReply hold_reply;
    WlEndpointReport report;
    WlNodeStatus node_status;
    WlEndpoints endpoints;
    WlLoadReport load_report;
    WlConfigPull config_pull;
    WlConfigPush config_push;
    WlSuspicion suspicion;
    WlMembershipReport node_report;
    WlLoadReports load_reports;
    WlPartReport part_report;
    WlLimitReport limit_report;
    WlPermitAsk permit_ask;
    WlPermitAnswer permit_answer;
    WlPermitReturn permit_return;
    WlEvacuate evacuate;
  } u;
} WlMessage;

extern const WlField wl_log_entry_fields[];

/**
 * wl_message_encode() - encodes a message
 * @message: the message
 * @pool: owns the result
 *
 * Return: the encoded bytes.
 */
WlBytes wl_message_encode (const WlMessage *message, apr_pool_t *pool);

/**
 * wl_message_decode() - decodes a message
 * @bytes: encoded message
 * @out: receives the message
 * @pool: owns the decoded arrays and bytes
 *
 * Return: WL_OK, or WL_ERROR_INVALID also for an unknown kind.
 */
WlError wl_message_decode (WlBytes bytes, WlMessage *out, apr_pool_t *pool);

/**
 * wl_message_name() - name of a message kind, for logs and counters
 * @kind: the kind
 *
 * Return: a static string, "?" for an unknown kind.
 */
const char *wl_message_name (WlMessageKind kind);

/**
 * wl_refusal_name() - name of a refusal reason, for logs and responses
 * @reason: the reason
 *
 * Return: a static string such as "queue_full", "?" for an unknown reason.
 */
const char *wl_refusal_name (WlRefusalReason reason);

#endif
