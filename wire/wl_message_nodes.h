#ifndef WL_MESSAGE_NODES_H
#define WL_MESSAGE_NODES_H

#include "wl_command.h"

/*
 * Messages of forwarding nodes: who is there, which endpoints have registered,
 * what work is where, and the services text. See wl_message.h.
 */

/** struct WlNodeId - the id of a node, as an element of arrays */
typedef struct
{
  uint32_t node;
} WlNodeId;

/**
 * enum WlSubscription - what the sender of a status asks of its receiver
 * @WL_SUBSCRIBE_NONE: nothing
 * @WL_SUBSCRIBE_REPORTS: the changes of each report, for a while
 * @WL_SUBSCRIBE_ALL: likewise, and once all that the receiver knows
 */
typedef enum
{
  WL_SUBSCRIBE_NONE,
  WL_SUBSCRIBE_REPORTS,
  WL_SUBSCRIBE_ALL,
} WlSubscription;

/**
 * struct WlNodeStatus - what a node tells others about itself
 * @node: node id: the IPv4 number
 * @boot: random number drawn at process start
 * @sequence: increases with each status of one boot
 * @zone: failure domain
 * @front_port: port for callers
 * @has_disk: the node can hold a control replica
 * @is_ready: the node takes requests
 * @is_draining: the node is stopping
 * @config_number: number of the services text in force there
 * @leader: control leader that it knows, 0 for none
 * @known: ids of the nodes that it has heard recently, @n_known of them; empty in a large fleet
 * @subscription: a WlSubscription
 * @age_us: in reports: time since the reporting relay got the status
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  uint64_t sequence;
  char zone[WL_LABEL_SIZE];
  uint32_t front_port;
  uint8_t has_disk;
  uint8_t is_ready;
  uint8_t is_draining;
  uint64_t config_number;
  uint32_t leader;
  WlNodeId *known;
  uint32_t n_known;
  uint8_t subscription;
  uint64_t age_us;
} WlNodeStatus;

/**
 * struct WlEndpointRecord - what is known of one registered endpoint
 * @id: identity of one start of the endpoint, or of its host
 * @service: service that it belongs to
 * @zone: failure domain
 * @address: IPv4 number, network byte order
 * @port: port
 * @slots: requests processed at once
 * @born_ms: wall time of its start, orders restarts under one id
 * @sequence: increases with each registration of one start
 * @age_us: time since that registration arrived at a node
 * @is_draining: no new work
 * @is_gone: it has left
 */
typedef struct
{
  char id[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char zone[WL_LABEL_SIZE];
  uint32_t address;
  uint32_t port;
  uint32_t slots;
  uint64_t born_ms;
  uint64_t sequence;
  uint64_t age_us;
  uint8_t is_draining;
  uint8_t is_gone;
} WlEndpointRecord;

/** struct WlEndpoints - registrations passed on to other nodes */
typedef struct
{
  WlEndpointRecord *records;
  uint32_t n_records;
} WlEndpoints;

/**
 * enum WlWorkPhase - progress of one request at an endpoint
 * @WL_WORK_SENT: sent, the prompt is not read yet
 * @WL_WORK_WRITING: the first output arrived
 * @WL_WORK_ENDED: nothing of it is left there
 */
typedef enum
{
  WL_WORK_SENT = 1,
  WL_WORK_WRITING,
  WL_WORK_ENDED,
} WlWorkPhase;

/**
 * struct WlWorkNote - work of the sending node at one endpoint
 * @work: number of the work, unique within the node's boot
 * @endpoint: key of the endpoint, see wl_fleet_key()
 * @phase: a WlWorkPhase
 * @is_part: a part of a prompt that another endpoint answers; read before whole prompts
 * @memory: tokens of memory that it needs there
 * @reads: prompt tokens read there
 * @read_us: time that this takes
 * @output: tokens expected to be written there
 * @gap_ms: longest pause between events that its caller tolerates
 * @predicted_ms: predicted time to the first output, 0 for helpers
 */
typedef struct
{
  uint64_t work;
  uint64_t endpoint;
  uint8_t phase;
  uint8_t is_part;
  uint32_t memory;
  uint32_t reads;
  uint32_t read_us;
  uint32_t output;
  uint32_t gap_ms;
  uint32_t predicted_ms;
} WlWorkNote;

/**
 * struct WlWork - notes of one node
 * @boot: boot of the node
 * @is_whole: the notes are all work of the node; what is not among them has ended
 * @notes: the notes, @n_notes of them
 * @node: node whose work it is; 0 for the sender of the message
 */
typedef struct
{
  uint64_t boot;
  uint8_t is_whole;
  WlWorkNote *notes;
  uint32_t n_notes;
  uint32_t node;
} WlWork;

/** struct WlWorks - notes of several nodes, passed on together */
typedef struct
{
  WlWork *works;
  uint32_t n_works;
} WlWorks;

/**
 * struct WlSuspicion - an endpoint failed the sending node
 * @endpoint: key of the endpoint
 * @eject_us: for how long the sender gives it no work
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t eject_us;
} WlSuspicion;

/** struct WlEndpointKey - key of an endpoint, as an element of arrays */
typedef struct
{
  uint64_t key;
} WlEndpointKey;

/**
 * enum WlReportScope - what a report covers
 * @WL_REPORT_ALL: all that the relay knows, for the nodes of its failure domain
 * @WL_REPORT_DOMAIN: what the relay heard itself, for relays of other failure domains
 * @WL_REPORT_INTRODUCTION: some nodes to begin with, for a stranger; vouches for nothing
 */
typedef enum
{
  WL_REPORT_ALL,
  WL_REPORT_DOMAIN,
  WL_REPORT_INTRODUCTION,
  WL_REPORT_SCOPES,
} WlReportScope;

/**
 * struct WlReport - what a relay tells about nodes and endpoints
 * @sender: status of the relay
 * @scope: a WlReportScope
 * @is_whole: lists everything in scope; otherwise the latest changes
 * @node_digest: digest over all nodes in scope, see wl_view.h
 * @endpoint_digest: digest over all endpoints in scope
 * @nodes: changed nodes, @n_nodes of them
 * @lost_nodes: nodes no longer in scope, @n_lost_nodes of them
 * @endpoints: changed endpoints, @n_endpoints of them
 * @lost_endpoints: endpoints no longer in scope, @n_lost_endpoints of them
 * @n_alive: nodes that the relay believes alive, itself included
 */
typedef struct
{
  WlNodeStatus sender;
  uint8_t scope;
  uint8_t is_whole;
  uint64_t node_digest;
  uint64_t endpoint_digest;
  WlNodeStatus *nodes;
  uint32_t n_nodes;
  WlNodeId *lost_nodes;
  uint32_t n_lost_nodes;
  WlEndpointRecord *endpoints;
  uint32_t n_endpoints;
  WlEndpointKey *lost_endpoints;
  uint32_t n_lost_endpoints;
  uint32_t n_alive;
} WlReport;

/** struct WlTextPull - asks a node for the services text newer than @number */
typedef struct
{
  uint64_t number;
} WlTextPull;

/**
 * struct WlTextPush - a committed services text
 * @number: its number
 * @change: change from @change.replaces; a whole text replaces 0
 */
typedef struct
{
  uint64_t number;
  WlConfigChange change;
} WlTextPush;

extern const WlField wl_node_status_fields[];
extern const WlField wl_endpoints_fields[];
extern const WlField wl_work_fields[];
extern const WlField wl_works_fields[];
extern const WlField wl_suspicion_fields[];
extern const WlField wl_report_fields[];
extern const WlField wl_text_pull_fields[];
extern const WlField wl_text_push_fields[];

#endif
