#ifndef WL_SIM_H
#define WL_SIM_H

#include "wl_core.h"
#include "wl_memory_disk.h"
#include "wl_storage.h"
#include "wl_time_queue.h"

/*
 * A few reducers joined by a fake network, fake disks and fake endpoints, in
 * one thread and in simulated time. Messages can be delayed, dropped and
 * repeated; nodes can crash, lose their disk, freeze and be cut off. After
 * every step the invariants of wl_sim.c are checked. The same seed gives the
 * same run.
 */

enum
{
  SIM_NODES = 16,
  SIM_ENDPOINTS = 16,
  SIM_REQUESTS = 4096,
  SIM_RUNS = 2048,
  SIM_SUBMITS = 1024,
};

typedef enum
{
  SIM_NOTHING,
  SIM_MESSAGE,
  SIM_TOKEN, /* an endpoint's next token or end */
  SIM_EVENT, /* an event for a node */
} SimItemKind;

/** struct SimItem - something that happens at a time */
typedef struct
{
  uint64_t at_us;
  SimItemKind kind;
  uint32_t from;
  uint32_t to;
  uint64_t life; /* incarnation that the item is meant for, 0 for any */
  uint8_t *bytes;
  uint32_t size;
  WlEvent event;
  uint32_t run;
} SimItem;

typedef struct
{
  WlCore *core;
  WlSettings settings;
  MemoryFolder folder;
  WlStorage *storage;
  uint8_t is_up;
  uint8_t is_frozen;
  uint8_t has_stopped;
  uint64_t config_seen;
} SimNode;

/** struct SimRun - an attempt at an endpoint */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint32_t rank;
  uint32_t endpoint;
  uint32_t node;
  uint64_t life;
  uint64_t next_token;
  uint8_t is_active;
  uint8_t is_connected;
} SimRun;

typedef struct
{
  char name[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char domain[WL_LABEL_SIZE];
  uint8_t is_plain;
  uint8_t is_up;
  uint8_t is_silent; /* existing streams carry nothing more */
  uint8_t is_leaving;
  uint64_t left_us;
  uint64_t kv_capacity;
  uint64_t kv_peak;
  uint32_t slots;
  uint64_t sequence;
  uint64_t incarnation;
  uint64_t report_us;
  uint64_t fence;
  uint8_t is_loaded;
  uint32_t orders;
} SimEndpoint;

/** struct SimRequest - what a caller saw */
typedef struct
{
  uint64_t id;
  uint32_t node;
  char key[WL_KEY_SIZE];
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t sent_us;
  uint64_t limit_us;
  uint32_t ends;
  uint32_t dispatches;
  uint64_t delivered;
  uint64_t first_token_us;
  uint64_t ended_us;
  WlReplyEnd end;
  uint8_t node_died;
} SimRequest;

typedef struct
{
  WlSubmitReply reply;
  uint8_t is_answered;
} SimSubmit;

typedef struct WlSim
{
  uint64_t now_us;
  uint64_t random;
  uint64_t order;
  SimNode nodes[SIM_NODES + 1]; /* by node id, from 1 */
  uint32_t n_nodes;
  uint32_t n_control;
  uint8_t cut[SIM_NODES + 1][SIM_NODES + 1]; /* [from][to] */
  uint8_t cut_endpoints[SIM_NODES + 1];
  uint32_t drop_ppm;
  uint32_t repeat_ppm;
  uint64_t delay_us;
  WlTimeQueue *queue; /* of SimItem */
  SimEndpoint endpoints[SIM_ENDPOINTS];
  uint32_t n_endpoints;
  SimRun runs[SIM_RUNS];
  uint32_t n_runs;
  SimRequest requests[SIM_REQUESTS];
  uint32_t n_requests;
  SimSubmit submits[SIM_SUBMITS];
  uint32_t n_submits;
  WlQueryReply query;
  uint64_t query_id;
  uint32_t policy;
  uint64_t token_us;
  const char *broken; /* first broken invariant, NULL for none */
} WlSim;

/**
 * sim_create() - creates nodes that are down
 * @seed: seed of all randomness
 * @nodes: number of nodes
 * @control: the first so many are control replicas
 *
 * Return: the simulation.
 */
WlSim *sim_create (uint64_t seed, uint32_t nodes, uint32_t control);
void sim_destroy (WlSim *sim);

/** sim_start() - starts one node from its disk; sim_start_all() starts every node */
void sim_start (WlSim *sim, uint32_t node);
void sim_start_all (WlSim *sim);

/** sim_crash() - kills a node; unsynced data is lost. sim_wipe() also empties its disk */
void sim_crash (WlSim *sim, uint32_t node);
void sim_wipe (WlSim *sim, uint32_t node);

/** sim_isolate() - cuts a node off from, or joins it to, all other nodes */
void sim_isolate (WlSim *sim, uint32_t node, int is_cut);

/** sim_run() - lets time pass */
void sim_run (WlSim *sim, uint64_t duration_us);

/** sim_random() - next random number */
uint64_t sim_random (WlSim *sim);

/** sim_leader() - node id of the current leader, 0 for none */
uint32_t sim_leader (const WlSim *sim);

/** sim_event() - gives an event to a node and carries out the effects */
void sim_event (WlSim *sim, uint32_t node, WlEvent *event);

/** sim_schedule() - adds an item to the queue */
void sim_schedule (WlSim *sim, const SimItem *item);

/** sim_submit() - submits a text at a node; returns the index in sim->submits */
uint32_t sim_submit (WlSim *sim, uint32_t node, uint64_t replaces, const char *text);

/** sim_submit_until_answered() - submits again and again, as an operator would */
const WlSubmitReply *sim_submit_until_answered (WlSim *sim, uint32_t node, uint64_t replaces,
                                                const char *text);

/** sim_evacuate() - starts or ends an evacuation at a node; returns the index in sim->submits */
uint32_t sim_evacuate (WlSim *sim, uint32_t node, const char *domain, uint64_t sequence,
                       int is_finish);

/** sim_request() - sends a request; returns it */
SimRequest *sim_request (WlSim *sim, uint32_t node, const char *service, uint64_t prompt_tokens,
                         uint64_t max_tokens, const char *key);

/** sim_query() - asks a node for the group's status; the answer is in sim->query */
void sim_query (WlSim *sim, uint32_t node);

/** sim_add_endpoint() - adds an endpoint that announces itself */
SimEndpoint *sim_add_endpoint (WlSim *sim, const char *service, int is_plain);

/** sim_endpoint_crash() - kills an endpoint; it holds nothing any more */
void sim_endpoint_crash (WlSim *sim, uint32_t endpoint);

/** sim_endpoints_tick() - announcements */
void sim_endpoints_tick (WlSim *sim);

/** sim_endpoints_effect() - carries out an effect that concerns endpoints; 1 when it did */
int sim_endpoints_effect (WlSim *sim, uint32_t node, const WlEffect *effect);

/** sim_endpoints_token() - the next token or the end of a run */
void sim_endpoints_token (WlSim *sim, uint32_t index);

/** sim_kv_used() - tokens of memory that an endpoint holds */
uint64_t sim_kv_used (const WlSim *sim, uint32_t endpoint);

/** sim_runs_of() - how often requests with a key were run by endpoints */
uint32_t sim_runs_of (const WlSim *sim, const char *key);

/** sim_find_request() - a request by id */
SimRequest *sim_find_request (WlSim *sim, uint64_t id);

/** sim_text() - a services text with the given number of comment lines */
const char *sim_text (uint32_t variant);

#endif
