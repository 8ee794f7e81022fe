#ifndef WL_CONFIG_SIM_H
#define WL_CONFIG_SIM_H

#include "wl_config_store.h"
#include "wl_effects.h"
#include "wl_memory_disk.h"
#include "wl_storage.h"

/*
 * The replicated configuration store on a simulated network that delays, loses and
 * reorders messages, with disks that lose unsynced writes in a crash and may be full.
 * Effects are carried out in order, as wl_journal.h does: a batch that cannot be stored
 * is tried again, and nothing after it is sent meanwhile.
 */

enum
{
  CONFIG_SIM_NODES = 48,
  CONFIG_SIM_STATUS_US = 400000, /* nodes hear of each other so often */
  CONFIG_SIM_PACKETS_MAX = 4096,
  CONFIG_SIM_STEP_US = 5000,
  CONFIG_SIM_ANSWERS_MAX = 256,
  CONFIG_SIM_EVACUATIONS_MAX = 4,
};

/** struct ConfigSimBatch - effects that are not carried out yet */
typedef struct ConfigSimBatch
{
  WlEffects *effects;
  uint32_t n_stored; /* effects that are stored, or need not be */
  struct ConfigSimBatch *next;
} ConfigSimBatch;

typedef struct
{
  MemoryFolder folder;
  WlStorage *storage;
  WlConfigStore *store;
  ConfigSimBatch *first; /* queue of effects */
  ConfigSimBatch *last;
  uint64_t retry_us; /* when a failed write is tried again */
  uint32_t n_retries;
  int is_up;
  int is_isolated;
} ConfigSimNode;

typedef struct
{
  uint64_t due_us;
  uint32_t from;
  uint32_t to;
  WlBytes bytes; /* on the heap */
} ConfigSimPacket;

typedef struct
{
  uint64_t id;
  WlMessageKind kind;
  uint64_t number;
  uint64_t version;
  uint8_t outcome; /* of a submission */
  char config[64];
  WlEvacuation evacuations[CONFIG_SIM_EVACUATIONS_MAX];
  uint32_t n_evacuations;
} ConfigSimAnswer;

/**
 * struct ConfigSim - the simulation
 * @nodes: the nodes by id, from 1
 * @queue: messages on their way
 * @answers: the latest answers to submissions and reads
 * @tolerated_faults: of replicas, for nodes that start
 * @status_us: when nodes last heard of each other
 * @loss_percent: share of messages that are lost
 * @sent_bytes: bytes sent between nodes
 */
typedef struct
{
  ConfigSimNode nodes[CONFIG_SIM_NODES + 1];
  ConfigSimPacket queue[CONFIG_SIM_PACKETS_MAX];
  uint32_t n_queue;
  ConfigSimAnswer answers[CONFIG_SIM_ANSWERS_MAX];
  uint32_t n_answers;
  uint64_t now_us;
  uint64_t status_us;
  uint64_t random;
  uint64_t next_id;
  uint32_t tolerated_faults;
  uint32_t loss_percent;
  uint64_t sent_bytes;
} ConfigSim;

/** config_sim - the only simulation */
extern ConfigSim config_sim;

/** config_sim_initial - nodes that found the group: the first three, or all five */
extern const uint32_t config_sim_initial[5];

/** config_sim_create() - begins a simulation without nodes */
void config_sim_create (uint64_t seed);

/** config_sim_destroy() - ends it */
void config_sim_destroy (void);

/** config_sim_start() - starts a node; with the peers that bootstrap the group, or NULL */
void config_sim_start (uint32_t node, const uint32_t *bootstrap_peers, uint32_t n_bootstrap_peers);

/** config_sim_start_three() - starts nodes 1 to 3 and lets them bootstrap the group */
void config_sim_start_three (void);

/** config_sim_crash() - ends a node; its disk loses what was not synced */
void config_sim_crash (uint32_t node);

/** config_sim_wipe() - ends a node and empties its disk */
void config_sim_wipe (uint32_t node);

/** config_sim_run() - runs for a time */
void config_sim_run (uint64_t duration_us);

/** config_sim_deliver_last() - delivers the message that was sent last, at once */
void config_sim_deliver_last (void);

/** config_sim_leader() - a node that leads as far as it knows, 0 for none */
uint32_t config_sim_leader (void);

/** config_sim_answer() - the answer to a request, or NULL */
const ConfigSimAnswer *config_sim_answer (uint64_t id);

/**
 * config_sim_send() - sends a request
 * @from: node that sends it, and gets the answer
 * @to: the leader
 * @kind: WL_MESSAGE_SUBMIT or WL_MESSAGE_QUERY
 * @version: of a submission
 * @config: of a submission
 *
 * Return: its id.
 */
uint64_t config_sim_send (uint32_t from, uint32_t to, WlMessageKind kind, uint64_t version,
                          const char *config);

/** config_sim_send_evacuation() - sends a start or finish, with the sequence that was read */
uint64_t config_sim_send_evacuation (uint32_t from, uint32_t to, const char *domain,
                                     uint64_t sequence, int is_finish);

/**
 * config_sim_evacuate() - starts or ends an evacuation as a node does
 * @domain: the failure domain
 * @is_finish: ends it
 *
 * Reads the sequence, then repeats the change with it until a leader has answered.
 */
void config_sim_evacuate (const char *domain, int is_finish);

/** config_sim_repeat_evacuation() - repeats a change with a sequence until a leader accepts it */
void config_sim_repeat_evacuation (const char *domain, uint64_t sequence, int is_finish);

/** config_sim_evacuation() - reads the state of a failure domain */
WlEvacuation config_sim_evacuation (const char *domain);

/** config_sim_request() - sends a request to the leader, repeatedly, up to @limit_us; or NULL */
const ConfigSimAnswer *config_sim_request (WlMessageKind kind, uint64_t version, const char *config,
                                           uint64_t limit_us);

/** config_sim_submit() - submits a configuration and checks that it is answered */
void config_sim_submit (uint64_t version, const char *config);

/** config_sim_assert_config() - reads the configuration and checks it */
void config_sim_assert_config (uint64_t version, const char *config);

#endif
