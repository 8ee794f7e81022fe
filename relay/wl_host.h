#ifndef WL_HOST_H
#define WL_HOST_H

#include "wl_config_store.h"
#include "wl_journal.h"
#include "wl_membership.h"
#include "wl_peers.h"
#include "wl_relay.h"
#include "wl_services.h"

/*
 * One node. Every node forwards requests, accepts registrations of endpoints
 * and submissions of the configuration, and lists the nodes that callers may
 * use. Nodes with a disk also replicate the configuration.
 *
 * The host owns the event loop, the connections between nodes and the HTTP
 * server for callers. The protocols of endpoints and operators are left to its
 * user, who adds servers to wl_host_loop () and calls the functions below.
 */

enum
{
  WL_HOST_SEEDS_MAX = 8,
  WL_HOST_TICK_US = 10000,             /* resolution of delays and time limits */
  WL_HOST_LEADER_RETRY_US = 300000,    /* interval of repeated requests to the control leader */
  WL_HOST_LEADER_TIMEOUT_US = 2500000, /* for a response of the control leader */
  WL_HOST_LEADER_REQUESTS_MAX = 64,    /* requests to the control leader in progress */
  WL_HOST_SUBMISSIONS_BYTES = WL_SERVICES_TEXT_MAX, /* of submissions in progress, compressed */
  WL_HOST_ADDRESSES_MAX = 64,                       /* addresses in one list for callers */
  WL_HOST_READY_TIMEOUT_US = 2500000, /* a node without registrations is ready after this */
  WL_HOST_DOMAINS_MAX = 64,           /* failure domains of a deployment */
};

/** struct WlHostDomain - a failure domain of the deployment, and the region in which it lies */
typedef struct
{
  char name[WL_LABEL_SIZE];
  char region[WL_LABEL_SIZE];
} WlHostDomain;

/**
 * struct WlHostOptions - validated settings of a node
 * @node: node id: its IPv4 address, host byte order
 * @domain: failure domain
 * @region: region of the failure domain, empty when the settings do not name it
 * @domains: all failure domains, @n_domains of them; 0 when the settings do not list them
 * @peer_port: port for other nodes
 * @client_port: port for callers
 * @key: secret shared by all nodes
 * @data_folder: folder for persistent state; empty for a node without a disk
 * @is_first_start: the system starts for the first time, so this node may bootstrap the
 *   control group, which replicates the configuration
 * @seeds: ids of the nodes to contact first, @n_seeds of them
 * @tolerated_faults: failed control replicas to be tolerated
 * @grace_us: longest time from wl_host_stop() to the exit
 * @linger_us: shortest time from wl_host_stop() to the exit, in which callers may still
 *   use the node
 * @address_lifetime_us: how long callers usually cache the addresses of nodes
 * @retry_ratio: see WlRelayOptions
 * @retry_slack: see WlRelayOptions
 * @retry_window_us: see WlRelayOptions
 * @cold_over: see WlRelayOptions
 * @cold_slack: see WlRelayOptions
 * @protocol: reads and writes header fields
 * @parse: parses a configuration; returns NULL and adds findings when it is invalid
 */
typedef struct
{
  uint32_t node;
  char domain[WL_LABEL_SIZE];
  char region[WL_LABEL_SIZE];
  WlHostDomain domains[WL_HOST_DOMAINS_MAX];
  uint32_t n_domains;
  uint16_t peer_port;
  uint16_t client_port;
  char key[WL_LABEL_SIZE];
  char data_folder[256];
  uint8_t is_first_start;
  uint32_t seeds[WL_HOST_SEEDS_MAX];
  uint32_t n_seeds;
  uint32_t tolerated_faults;
  uint64_t grace_us;
  uint64_t linger_us;
  uint64_t address_lifetime_us;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  double cold_over;
  double cold_slack;
  WlRelayProtocol protocol;
  WlRoutes *(*parse) (WlBytes config, WlFindings *findings);
} WlHostOptions;

typedef struct WlHost WlHost;

/**
 * enum WlHostOutcome - outcome of a request to the control leader
 * @WL_HOST_DONE: the submission is committed, or the read confirmed to be the latest
 * @WL_HOST_UNKNOWN: no response in time; a submission may or may not be committed
 * @WL_HOST_REFUSED: the leader's queue of submissions is full; this one is not committed
 */
typedef enum
{
  WL_HOST_DONE,
  WL_HOST_UNKNOWN,
  WL_HOST_REFUSED,
} WlHostOutcome;

/**
 * WlHostAnswer - receives the outcome of a request
 * @data: as passed with the request
 * @outcome: the outcome
 * @config: the latest configuration after a successful read, otherwise empty; valid
 *   during the call
 */
typedef void (*WlHostAnswer) (void *data, WlHostOutcome outcome, WlBytes config);

/**
 * wl_host_create() - starts a node
 * @options: settings; copied
 * @out: receives the node, to be freed with wl_host_destroy()
 *
 * Return: WL_OK, or an error of the data folder, the disk or the ports.
 */
WlError wl_host_create (const WlHostOptions *options, WlHost **out);

/** wl_host_destroy() - stops a node at once and frees it; accepts NULL */
void wl_host_destroy (WlHost *host);

/** wl_host_loop() - event loop of the node, for further servers; owned by the node */
WlTcpLoop *wl_host_loop (WlHost *host);

/** wl_host_run_once() - waits for events, at most until the next tick, and processes them */
void wl_host_run_once (WlHost *host);

/** wl_host_is_closing() - whether the servers of the user should take no more requests */
int wl_host_is_closing (const WlHost *host);

/** wl_host_may_exit() - whether the process may exit: the graceful stop is complete */
int wl_host_may_exit (const WlHost *host);

/** wl_host_has_failed() - whether the disk has failed, upon which the node stops gracefully */
int wl_host_has_failed (const WlHost *host);

/** wl_host_stop() - begins a graceful stop; wl_host_may_exit() reports when it is complete */
void wl_host_stop (WlHost *host);

/** wl_host_set_seeds() - replaces the seeds after a change of settings */
void wl_host_set_seeds (WlHost *host, const uint32_t *seeds, uint32_t n_seeds);

/** wl_host_is_ready() - whether callers should use the node */
int wl_host_is_ready (const WlHost *host);

/**
 * wl_host_register() - adds or renews the registration of an endpoint, here and at other nodes
 * @host: the node
 * @record: the registration, with an age of 0
 */
void wl_host_register (WlHost *host, const WlEndpointRecord *record);

/**
 * wl_host_unregister() - removes the registration of an endpoint, here and at other nodes
 * @host: the node
 * @id: id of the endpoint
 * @started_ms: start of the endpoint, so that a newer one with this id stays; 0 for any
 */
void wl_host_unregister (WlHost *host, const char *id, uint64_t started_ms);

/**
 * wl_host_submit_config() - submits a configuration to the control leader
 * @host: the node
 * @version: the operators' version of it
 * @config: the configuration, found valid; copied
 * @on_answer: called once
 * @data: passed to @on_answer
 *
 * Return: id of the request, for wl_host_cancel(). 0 when too many are in
 * progress or the node is closing: nothing was submitted, and @on_answer is not
 * called.
 */
uint64_t wl_host_submit_config (WlHost *host, uint64_t version, WlBytes config,
                                WlHostAnswer on_answer, void *data);

/** wl_host_read_config() - reads the latest committed configuration; see wl_host_submit_config() */
uint64_t wl_host_read_config (WlHost *host, WlHostAnswer on_answer, void *data);

/** wl_host_knows_domain() - whether the settings, a node, an endpoint or an evacuation name it */
int wl_host_knows_domain (const WlHost *host, const char *domain);

/**
 * wl_host_evacuate() - starts or ends the evacuation of a failure domain
 * @host: the node
 * @domain: name of the failure domain, WL_LABEL_SIZE - 1 bytes at most
 * @is_finish: ends the evacuation instead of starting it
 * @on_answer: called once, with WL_HOST_DONE when the change is committed or the domain was in that
 *   state already, WL_HOST_UNKNOWN when there was no answer in time, or WL_HOST_REFUSED
 * @data: passed to @on_answer
 *
 * Return: id of the request, for wl_host_cancel(), which also keeps it from being sent again; 0 as
 * for wl_host_submit_config().
 */
uint64_t wl_host_evacuate (WlHost *host, const char *domain, int is_finish, WlHostAnswer on_answer,
                           void *data);

/** wl_host_cancel() - drops a request without calling back; a submission may still be committed */
void wl_host_cancel (WlHost *host, uint64_t request);

/** struct WlHostAddress - a node that callers may use */
typedef struct
{
  uint32_t node;
  uint16_t port;
} WlHostAddress;

/**
 * wl_host_addresses() - lists ready nodes for callers in a failure domain
 * @host: the node
 * @domain: the callers' failure domain
 * @out: receives up to WL_HOST_ADDRESSES_MAX addresses
 *
 * Nodes of other failure domains are listed only when the callers' own has
 * less than two.
 *
 * Return: the number of addresses.
 */
uint32_t wl_host_addresses (WlHost *host, const char *domain, WlHostAddress *out);

/** wl_host_write_metrics() - appends all metrics in the Prometheus exposition format */
void wl_host_write_metrics (WlHost *host, WlBuffer *out);

#endif
