#ifndef WL_COMMAND_H
#define WL_COMMAND_H

#include "wl_codec.h"

/*
 * Commands of the replicated log, and the snapshot of the state that results
 * from applying them. Only infrequent changes go through the log:
 * configuration, membership, cell leases, claims of non-idempotent requests
 * and receipt roots.
 *
 * A cell is one shard of a service; its owner assigns requests to the cell's
 * endpoints. An entry is a node that accepts requests from callers.
 */

enum
{
  WL_DIGEST_SIZE = 32,      /* bytes of a BLAKE2b digest */
  WL_LABEL_SIZE = 64,       /* bytes of a name, with the terminating zero */
  WL_ADDRESS_SIZE = 46,     /* bytes of an IP address as text, with the terminating zero */
  WL_KEY_SIZE = 128,        /* bytes of an idempotency key, with the terminating zero */
  WL_OUTCOME_MAX = 4096,    /* bytes of a response body stored with a claim */
  WL_EVACUATIONS_MAX = 128, /* failure domains that were evacuated at any time */
};

/**
 * struct WlReplica - one replica of the control group
 * @node: node id
 * @incarnation: random number drawn when the data folder was created; distinguishes
 *   an emptied disk from the one that voted before
 */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
} WlReplica;

/**
 * struct WlGroup - the voters of the control group
 * @voters: the voters, @n_voters of them
 */
typedef struct
{
  WlReplica *voters;
  uint32_t n_voters;
} WlGroup;

/**
 * struct WlConfigChange - accepted change of the configuration, as a delta
 * @replaces: number of the configuration that it replaces
 * @number: number of the new configuration
 * @prefix: bytes kept from the start of the replaced configuration
 * @suffix: bytes kept from the end of the replaced configuration
 * @middle: new bytes between the two
 * @removed: bytes that @middle replaced; filled in when the change is applied
 * @digest: BLAKE2b of the full new configuration
 * @is_compressed: @middle is compressed with the replaced configuration as its
 *   reference, see wl_delta.h
 * @is_removed_compressed: @removed is compressed with the new configuration as its
 *   reference
 */
typedef struct
{
  uint64_t replaces;
  uint64_t number;
  uint32_t prefix;
  uint32_t suffix;
  WlBytes middle;
  WlBytes removed;
  uint8_t digest[WL_DIGEST_SIZE];
  uint8_t is_compressed;
  uint8_t is_removed_compressed;
} WlConfigChange;

/**
 * struct WlMember - one node of the system
 * @node: node id
 * @address: IP address as text
 * @peer_port: TCP port for other nodes
 * @http_port: TCP port for callers
 * @domain: failure domain
 * @draining: the node is shutting down
 */
typedef struct
{
  uint32_t node;
  char address[WL_ADDRESS_SIZE];
  uint32_t peer_port;
  uint32_t http_port;
  char domain[WL_LABEL_SIZE];
  uint8_t draining;
} WlMember;

/**
 * struct WlCellLease - ownership of one cell
 * @service: service name
 * @shard: index of the cell within the service, from 0
 * @owner: node id, 0 for none
 * @fence: fencing token, increases with each change of owner
 */
typedef struct
{
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint32_t owner;
  uint64_t fence;
} WlCellLease;

/**
 * enum WlClaimStatus - state of a claim
 * @WL_CLAIM_IN_FLIGHT: dispatched or about to be
 * @WL_CLAIM_DONE: completed; the outcome is stored
 * @WL_CLAIM_UNKNOWN: dispatched, but the outcome was lost for good
 * @WL_CLAIM_NOT_RUN: never dispatched; the key may be claimed again
 */
typedef enum
{
  WL_CLAIM_IN_FLIGHT = 1,
  WL_CLAIM_DONE,
  WL_CLAIM_UNKNOWN,
  WL_CLAIM_NOT_RUN,
} WlClaimStatus;

/**
 * struct WlClaimRecord - claim on an idempotency key
 * @customer: customer name
 * @key: idempotency key, unique within the customer
 * @request: id of the request that holds the claim
 * @node: entry that holds the claim
 * @incarnation: incarnation of that entry
 * @digest: BLAKE2b of the request
 * @status: a WlClaimStatus
 * @http_status: HTTP status of the stored outcome
 * @body: body of the stored outcome, at most WL_OUTCOME_MAX bytes
 * @expires_us: group time (see WlStateSnapshot.group_time_us) after which the record is
 *   dropped
 *
 * A non-idempotent request runs only after its claim is committed. This keeps it
 * at most once, whichever entries receive it.
 */
typedef struct
{
  char customer[WL_LABEL_SIZE];
  char key[WL_KEY_SIZE];
  uint64_t request;
  uint32_t node;
  uint64_t incarnation;
  uint8_t digest[WL_DIGEST_SIZE];
  uint8_t status;
  uint32_t http_status;
  WlBytes body;
  uint64_t expires_us;
} WlClaimRecord;

/**
 * struct WlReceiptRoot - digest over all receipt chains of one entry
 * @node: the entry
 * @incarnation: incarnation of the entry
 * @sequence: number of the root, from 1
 * @receipts: receipts covered so far, of all customers
 * @root: BLAKE2b over the leaves, one for each chain, in order
 */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t receipts;
  uint8_t root[WL_DIGEST_SIZE];
} WlReceiptRoot;

/**
 * struct WlEvacuation - evacuation of a failure domain
 * @domain: the failure domain
 * @sequence: number of starts and finishes so far
 * @is_active: whether it is evacuated
 */
typedef struct
{
  char domain[WL_LABEL_SIZE];
  uint64_t sequence;
  uint8_t is_active;
} WlEvacuation;

/**
 * enum WlCommandKind - kind of a log entry
 * @WL_COMMAND_NONE: no change; a new leader commits one to commit earlier entries
 * @WL_COMMAND_GROUP: new set of voters
 * @WL_COMMAND_CONFIG: accepted change of the configuration
 * @WL_COMMAND_MEMBER_PUT: node joined or changed
 * @WL_COMMAND_MEMBER_REMOVE: node left
 * @WL_COMMAND_CELL: cell owner changed
 * @WL_COMMAND_CLAIM: claim of a non-idempotent request
 * @WL_COMMAND_CLAIM_END: end of a claim
 * @WL_COMMAND_RECEIPT_ROOT: receipt root of one entry; sent periodically
 * @WL_COMMAND_EVACUATION: start or end of an evacuation; has the sequence before the change, and
 *   the state after it
 */
typedef enum
{
  WL_COMMAND_NONE,
  WL_COMMAND_GROUP,
  WL_COMMAND_CONFIG,
  WL_COMMAND_MEMBER_PUT,
  WL_COMMAND_MEMBER_REMOVE,
  WL_COMMAND_CELL,
  WL_COMMAND_CLAIM,
  WL_COMMAND_CLAIM_END,
  WL_COMMAND_RECEIPT_ROOT,
  WL_COMMAND_EVACUATION,
  WL_COMMAND_KINDS,
} WlCommandKind;

/**
 * struct WlCommand - payload of one log entry
 * @kind: selects the member of the union
 * @time_us: leader's wall time when the command was proposed, in microseconds
 */
typedef struct
{
  WlCommandKind kind;
  uint64_t time_us;
  union
  {
    WlGroup group;
    WlConfigChange config;
    WlMember member;
    WlCellLease cell;
    WlClaimRecord claim;
    WlReceiptRoot root;
    WlEvacuation evacuation;
  } u;
} WlCommand;

/**
 * struct WlAcceptedConfig - number and digest of an accepted configuration
 * @number: configuration number
 * @digest: BLAKE2b of the configuration
 */
typedef struct
{
  uint64_t number;
  uint8_t digest[WL_DIGEST_SIZE];
} WlAcceptedConfig;

/**
 * struct WlStateSnapshot - the full replicated state, as stored in a snapshot
 * @config_number: number of the current configuration
 * @config: the current configuration
 * @history: retained numbers and digests, to recognise repeated submissions
 * @recent_changes: latest changes, retained to send deltas
 * @members: nodes
 * @cells: cell owners
 * @claims: claims that have not expired
 * @roots: latest receipt root of each entry
 * @voters: voters of the control group
 * @group_time_us: group time: the highest @time_us of an applied command
 * @directory_version: version of the directory, which is @members, @cells and @evacuations
 * @evacuations: failure domains that are or were evacuated
 */
typedef struct
{
  uint64_t config_number;
  WlBytes config;
  WlAcceptedConfig *history;
  uint32_t n_history;
  WlConfigChange *recent_changes;
  uint32_t n_recent_changes;
  WlMember *members;
  uint32_t n_members;
  WlCellLease *cells;
  uint32_t n_cells;
  WlClaimRecord *claims;
  uint32_t n_claims;
  WlReceiptRoot *roots;
  uint32_t n_roots;
  WlReplica *voters;
  uint32_t n_voters;
  uint64_t group_time_us;
  uint64_t directory_version;
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
} WlStateSnapshot;

extern const WlField wl_replica_fields[];
extern const WlField wl_group_fields[];
extern const WlField wl_config_change_fields[];
extern const WlField wl_member_fields[];
extern const WlField wl_cell_lease_fields[];
extern const WlField wl_claim_record_fields[];
extern const WlField wl_receipt_root_fields[];
extern const WlField wl_evacuation_fields[];
extern const WlField wl_state_snapshot_fields[];

/**
 * wl_command_encode() - encodes a command
 * @command: the command
 * @pool: owns the result
 *
 * Return: the encoded bytes.
 */
WlBytes wl_command_encode (const WlCommand *command, apr_pool_t *pool);

/**
 * wl_command_decode() - decodes a command
 * @bytes: encoded command
 * @out: receives the command
 * @pool: owns the decoded arrays and bytes
 *
 * Return: WL_OK or WL_ERROR_INVALID.
 */
WlError wl_command_decode (WlBytes bytes, WlCommand *out, apr_pool_t *pool);

#endif
