#ifndef WL_HOST_H
#define WL_HOST_H

#include "wl_document.h"
#include "wl_journal.h"
#include "wl_membership.h"
#include "wl_peers.h"
#include "wl_relay.h"
#include "wl_services.h"

/*
 * One node of a system in which every node forwards requests, takes
 * registrations of endpoints and submissions of the services text, and tells
 * callers which nodes to use. Nodes with a disk also replicate the text.
 *
 * The host owns the event loop and the connections. How callers, endpoints
 * and operators speak is the business of its user, who adds servers to
 * wl_host_loop () and calls the functions below.
 */

enum
{
  WL_HOST_SEEDS_MAX = 8,
  WL_HOST_TICK_US = 10000,                        /* resolution of waiting and time limits */
  WL_HOST_ASK_US = 300000,                        /* a question to the leader is repeated */
  WL_HOST_ANSWER_US = 2500000,                    /* a question to the leader is given up */
  WL_HOST_QUESTIONS_MAX = 64,                     /* questions to the leader at once */
  WL_HOST_SUBMITTED_BYTES = WL_SERVICES_TEXT_MAX, /* of submissions that wait, compressed */
  WL_HOST_ADDRESSES_MAX = 64,                     /* addresses in one answer to callers */
  WL_HOST_READY_US = 2500000, /* a node without registrations reports ready after this */
};

/**
 * struct WlHostOptions - checked settings of a node
 * @node: node id: the IPv4 number, host byte order
 * @zone: failure domain
 * @peer_port: port for other nodes
 * @front_port: port for callers
 * @key: shared key of the system
 * @data_folder: data folder, empty for none
 * @is_first_start: the whole system starts for the first time
 * @seeds: ids of nodes to ask first, @n_seeds of them
 * @faults: lost control replicas to be tolerated
 * @grace_us: longest time from a stop to the exit
 * @linger_us: time for which callers may still use a stopping node
 * @retry_ratio: see WlRelayOptions
 * @retry_slack: see WlRelayOptions
 * @retry_window_us: see WlRelayOptions
 * @protocol: names of header fields
 * @parse: reads a text; returns NULL and adds findings when it is invalid
 */
typedef struct
{
  uint32_t node;
  char zone[WL_LABEL_SIZE];
  uint16_t peer_port;
  uint16_t front_port;
  char key[WL_LABEL_SIZE];
  char data_folder[256];
  uint8_t is_first_start;
  uint32_t seeds[WL_HOST_SEEDS_MAX];
  uint32_t n_seeds;
  uint32_t faults;
  uint64_t grace_us;
  uint64_t linger_us;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  WlRelayProtocol protocol;
  WlRoutes *(*parse) (WlBytes text, WlFindings *findings);
} WlHostOptions;

typedef struct WlHost WlHost;

/**
 * enum WlHostOutcome - answer to a question that only the control leader can answer
 * @WL_HOST_DONE: committed, or confirmed to be the newest
 * @WL_HOST_UNKNOWN: no answer in time; it may or may not have happened
 * @WL_HOST_REFUSED: too many submissions wait, and this one was not taken
 */
typedef enum
{
  WL_HOST_DONE,
  WL_HOST_UNKNOWN,
  WL_HOST_REFUSED,
} WlHostOutcome;

/** WlHostAnswer - receives the outcome; @text is the newest text after a read */
typedef void (*WlHostAnswer) (void *data, WlHostOutcome outcome, WlBytes text);

/**
 * wl_host_create() - starts a node
 * @options: settings; copied
 * @out: receives the node
 *
 * Return: WL_OK, or why the node cannot start.
 */
WlError wl_host_create (const WlHostOptions *options, WlHost **out);

/** wl_host_destroy() - ends a node; accepts NULL */
void wl_host_destroy (WlHost *host);

/** wl_host_loop() - connections of the node's event loop */
WlTcpLoop *wl_host_loop (WlHost *host);

/** wl_host_run_once() - waits for events once and processes them */
void wl_host_run_once (WlHost *host);

/** wl_host_is_over() - whether the process may exit */
int wl_host_is_over (const WlHost *host);

/** wl_host_has_failed() - whether the disk failed */
int wl_host_has_failed (const WlHost *host);

/** wl_host_stop() - begins a graceful stop */
void wl_host_stop (WlHost *host);

/** wl_host_set_seeds() - replaces the seeds after a change of settings */
void wl_host_set_seeds (WlHost *host, const uint32_t *seeds, uint32_t n_seeds);

/** wl_host_is_ready() - whether the node takes requests */
int wl_host_is_ready (const WlHost *host);

/**
 * wl_host_register() - takes an endpoint's registration and passes it on
 * @host: the node
 * @record: the registration; @age_us is 0
 */
void wl_host_register (WlHost *host, const WlEndpointRecord *record);

/** wl_host_leave() - an endpoint has left */
void wl_host_leave (WlHost *host, const char *id, uint64_t born_ms);

/**
 * wl_host_submit() - submits a services text
 * @host: the node
 * @version: the operators' version
 * @text: the text, found valid
 * @answer: called once
 * @data: passed to @answer
 *
 * Return: number of the question, for wl_host_forget(). 0 when too many wait:
 * the text was not taken, and @answer is not called.
 */
uint64_t wl_host_submit (WlHost *host, uint64_t version, WlBytes text, WlHostAnswer answer,
                         void *data);

/** wl_host_read() - asks for the newest committed text; see wl_host_submit() */
uint64_t wl_host_read (WlHost *host, WlHostAnswer answer, void *data);

/** wl_host_forget() - the one who asked has gone: @answer is not called */
void wl_host_forget (WlHost *host, uint64_t question);

/** struct WlHostAddress - a node that callers may use */
typedef struct
{
  uint32_t node;
  uint16_t port;
} WlHostAddress;

/**
 * wl_host_addresses() - nodes that callers in a failure domain should use
 * @host: the node
 * @zone: the callers' failure domain
 * @out: receives up to WL_HOST_ADDRESSES_MAX addresses
 *
 * Nodes of the same failure domain are given alone when there are at least two.
 *
 * Return: the number of addresses.
 */
uint32_t wl_host_addresses (WlHost *host, const char *zone, WlHostAddress *out);

/** wl_host_write_metrics() - appends counters as text lines "name value" */
void wl_host_write_metrics (WlHost *host, WlBuffer *out);

#endif
