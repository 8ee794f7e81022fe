#ifndef WL_SOAK_H
#define WL_SOAK_H

#include "wl_http_client.h"

/*
 * A soak of nodes as real processes: what one run shares. scripts/soak.sh
 * starts and restarts the nodes; wl-soak drives callers, endpoints, the
 * operator and the signals, and judges by what callers and endpoints saw.
 */

enum
{
  WL_SOAK_FRONT_PORT = 8227,
  WL_SOAK_CONTROL_PORT = 8229,
  WL_SOAK_DIRECTORY_PORT = 8224,
  WL_SOAK_ENDPOINT_PORT = 8080,
  WL_SOAK_READY_PORT = 8220,
  WL_SOAK_ENDPOINT_HOST = 161, /* last number of the first endpoint's address; nodes are from 1 */
  WL_SOAK_NODES_MAX = 160,     /* in a run, with those that were added */
  WL_SOAK_ENDPOINTS_MAX = 90,
  WL_SOAK_ZONES_MAX = 3,
  WL_SOAK_CALLERS_MAX = 512,
  WL_SOAK_BUSY_MAX = 16,
  WL_SOAK_SLOTS = 4,             /* of an endpoint */
  WL_SOAK_PREFILL_PER_S = 20000, /* prompt tokens of an engine, by the configuration */
  WL_SOAK_STEP_MS = 5,           /* of an output token, by the configuration */
  WL_SOAK_GRACE_US = 8000000,    /* grace_s of the settings */
  WL_SOAK_STABLE_US = 4000000,   /* stable_window_ms of the grown sheet */
};

/** enum WlSoakTrait - what a caller does besides; bits */
typedef enum
{
  WL_SOAK_PRESSES = 1,   /* sends the next request as soon as the answer has ended */
  WL_SOAK_SLOW = 2,      /* reads some 200 KB a second into a small buffer */
  WL_SOAK_PIECES = 4,    /* writes requests in pieces with pauses */
  WL_SOAK_PIPELINES = 8, /* sends the next request before the answer has ended */
  WL_SOAK_ANEW = 16,     /* opens a connection for each request */
  WL_SOAK_HALF = 32,     /* closes its sending side behind a request */
  WL_SOAK_LEAVES = 64,   /* gives up some requests */
  WL_SOAK_STALE = 128,   /* keeps addresses for three lifetimes */
  WL_SOAK_BIG = 256,     /* sends bodies of up to a MB */
  WL_SOAK_NETWORK = 512, /* its segments are those of an Ethernet, not of the loopback */
  WL_SOAK_ALL_TRAITS = 1023,
  WL_SOAK_STAYS = 1024,   /* stays with its node as long as that accepts connections, whatever the
                             directory says, and goes on at once after a refusal */
  WL_SOAK_RESUMES = 2048, /* asks for the rest of a stream that broke off */
} WlSoakTrait;

/** enum WlSoakSeries - what a step of the signals' plan does; bits */
typedef enum
{
  WL_SOAK_ONE = 1,       /* stops a node */
  WL_SOAK_TWO = 2,       /* stops two nodes at nearly the same time */
  WL_SOAK_ALL = 4,       /* stops all in turn, before the first is back */
  WL_SOAK_TERM = 8,      /* stops a node and sends it another SIGTERM */
  WL_SOAK_HUP = 16,      /* SIGHUP shortly before or after SIGTERM */
  WL_SOAK_SETTINGS = 32, /* the same with a changed settings file */
  WL_SOAK_CONFIG = 64,   /* a new configuration shortly before or after SIGTERM */
  WL_SOAK_ALL_SERIES = 127,
  WL_SOAK_KILL = 128,      /* SIGKILL to a node */
  WL_SOAK_KILL_CORE = 256, /* to all nodes with a disk at once */
  WL_SOAK_KILL_ALL = 512,  /* to all nodes at once */
  WL_SOAK_ALL_KILLS = 896,
} WlSoakSeries;

/**
 * struct WlSoakOptions - options of a run
 * @seed: determines the requests, their faults, the callers and the signals
 * @n_engines, @n_plain: endpoints of the two services
 * @traits, @series: those that may occur
 * @beside: per cent of the steps of the signals' plan that do each of the other @series, too
 * @share: per cent of the callers that have a trait
 * @prompt_max: most tokens of a prompt, 0 for those of its kind
 * @n_bad: bad parts of prompts, see wl_soak_parts.h
 * @bad_one_in: one request in so many has one
 * @bad_until_s: the second of the run from which engines no longer end by them, 0 for never
 * @kill_all_at_s: the second of the run in which all nodes are killed at once, 0 for none
 * @first_version: version of the first configuration
 * @n_bad_customers: of the two, whose requests have them
 * @stays: per cent of the callers that press and stay (WL_SOAK_PRESSES, WL_SOAK_STAYS)
 * @slow: endpoints take so many times as long to write, and plain ones to answer, as planned
 * @slow_share: per cent of the endpoints that are slow
 * @slow_from_s: the second of the run from which they are
 * @resumes: per cent of the callers that resume streams (WL_SOAK_RESUMES)
 * @unframed: per cent of the answers that have no length and no chunks, besides a third of the rest
 * @hurried: per cent of the requests whose deadline is 0.4 to 4 s
 * @ends_every_ms: mean time between engines that end by chance, 0 for never
 * @stop_ends_ms: the same, of any endpoints, while a node is stopping
 * @limits: per cent of the endpoints that name a limit, see wl_soak_limits.h
 * @limits_from_s, @limits_until_s: the seconds of the run in between they do, 0 for its end
 * @n_disks: the first so many nodes have a disk
 * @n_zones: failure domains; node and endpoint N are in zone N mod @n_zones
 * @replace_every_ms: a node with a disk is removed for good, and a new one started, 0 for never
 * @add_every_ms: a node without a disk is added, 0 for never
 * @wipe_every_ms: a node with a disk is killed and starts again with an empty one, 0 for never
 * @ends_with: per cent of the endpoints that end when all nodes are killed
 * @n_routes: routes of the configuration besides those of the kinds of request
 * @config_every_ms: a new configuration with @routes_step more routes, 0 for never
 * @resident_mb: most resident memory that a node may have had, 0 for any
 * @served_min: per cent of the requests that have to be served, 0 for no judgement
 * @slack: retry_budget_slack of the settings
 * @n_busy: threads that only use processor time while the callers run
 * @is_sound: endpoints meet no fault
 * @net: first address of the run, host byte order, its last number 0
 * @folder: files of the nodes, see wl_soak_nodes.h
 */
typedef struct
{
  uint32_t seed;
  uint32_t seconds;
  uint32_t n_nodes;
  uint32_t n_callers;
  uint32_t n_engines;
  uint32_t n_plain;
  uint32_t traits;
  uint32_t series;
  uint32_t beside;
  uint32_t share;
  uint32_t prompt_max;
  uint32_t n_bad;
  uint32_t bad_one_in;
  uint32_t bad_until_s;
  uint32_t kill_all_at_s;
  uint32_t first_version;
  uint32_t n_bad_customers;
  uint32_t stays;
  uint32_t slow;
  uint32_t slow_share;
  uint32_t slow_from_s;
  uint32_t resumes;
  uint32_t unframed;
  uint32_t hurried;
  uint32_t ends_every_ms;
  uint32_t stop_ends_ms;
  uint32_t limits;
  uint32_t limits_from_s;
  uint32_t limits_until_s;
  uint32_t n_disks;
  uint32_t n_zones;
  uint32_t replace_every_ms;
  uint32_t add_every_ms;
  uint32_t wipe_every_ms;
  uint32_t ends_with;
  uint32_t n_routes;
  uint32_t config_every_ms;
  uint32_t routes_step;
  uint32_t resident_mb;
  uint32_t served_min;
  uint32_t slack;
  uint32_t n_busy;
  uint8_t is_sound;
  uint32_t net;
  const char *folder;
} WlSoakOptions;

/**
 * struct WlSoak - a run
 * @client: makes the calls to directory and control
 * @options: @n_nodes grows when nodes are added
 * @begin_us: when the callers began, 0 before
 */
typedef struct
{
  WlSoakOptions options;
  WlReactor *reactor;
  WlHttpClient *client;
  uint64_t begin_us;
} WlSoak;

/**
 * wl_soak_call() - calls a node, see wl_http_client_call ()
 * @body: JSON, empty for GET
 * @received, @done: as in WlHttpParams
 */
void wl_soak_call (const WlSoak *soak, uint32_t node, uint16_t port, const char *path,
                   const char *body,
                   void (*received) (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes),
                   void (*done) (void *data, WlHttpCall *call, const WlHttpResult *result),
                   void *data);

/** wl_soak_call_with() - calls a node; the address of @params is set here */
void wl_soak_call_with (const WlSoak *soak, uint32_t node, const WlHttpParams *params);

/** wl_soak_broken() - prints and counts a broken promise */
void wl_soak_broken (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** wl_soak_n_broken() - broken promises so far */
uint32_t wl_soak_n_broken (void);

/** wl_soak_random() - next number of a sequence that @state alone determines */
uint64_t wl_soak_random (uint64_t *state);

/** wl_soak_between() - a number from @low to @high, both included */
uint32_t wl_soak_between (uint64_t *state, uint32_t low, uint32_t high);

#endif
