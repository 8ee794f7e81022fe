#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for the review's scripts: nodes as processes, an operator, clients and workers. */

enum
{
  KIT_FRONT_PORT = 8227,
  KIT_READY_PORT = 8220,
  KIT_CONTROL_PORT = 8229,
  KIT_DIRECTORY_PORT = 8224,
  KIT_WORKER_PORT = 8080,
  KIT_WORKER_HOST = 100, /* last byte of the first worker's address */
  KIT_NODES_MAX = 64,
  KIT_MESSAGE_MAX = 65536,
};

/* A node: a process of the daemon on 127.X.Y.HOST. */
typedef struct
{
  int host;
  int zone; /* 0 to 2 */
  int has_disk;
  int is_bootstrap;
  int n_seeds;
  int seeds[3];
  pid_t pid; /* 0 when it does not run */
} KitNode;

/* An HTTP message that was read. */
typedef struct
{
  int status; /* of an answer; 0 when none came whole */
  int is_cut; /* it had begun and ended early */
  size_t size;
  size_t body; /* offset of the body */
  char bytes[KIT_MESSAGE_MAX];
} KitMessage;

struct KitWorker;

/* Serves one request on a connection; returns 0 to close it. */
typedef int (*KitServe) (struct KitWorker *worker, int fd, const KitMessage *request);

/* A worker that follows PROTOCOL.md: one thread a connection. */
typedef struct KitWorker
{
  int number;
  int zone;
  const char *service;
  char id[32];
  int slots;
  int listener;
  unsigned sequence;
  uint64_t born_ms;
  KitServe serve;
  volatile int is_closed; /* its process has ended */
  volatile int n_running;
  void *data;
} KitWorker;

/* Reads the program's arguments: DAEMON RECORD. Chooses free addresses and a folder; 0 on failure.
 */
int kit_open (int argc, char **argv);

/* Ends all nodes, removes the folder, and returns @status. */
int kit_close (int status);

/* Whether the disruption is to be made (TROUBLE is not 0). */
int kit_has_trouble (void);

/* Milliseconds since kit_open(). */
int64_t kit_now_ms (void);
void kit_sleep_ms (int64_t ms);
void kit_sleep_until_ms (int64_t at_ms);

/* Writes a line with the time to the record and to standard output. */
void kit_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* The same, to the record only. */
void kit_note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Text IP of an address of this run; eight buffers in turn. */
const char *kit_ip (int host);

int kit_node_start (KitNode *node);
void kit_node_kill (KitNode *node, int signal_number);
/* Whether the process of a node has ended by itself. */
int kit_node_has_ended (KitNode *node);
/* Whether a node answers a readiness check with 200. */
int kit_node_is_ready (const KitNode *node);
/* Prints the last lines of a node's log to the record. */
void kit_node_print_log (const KitNode *node, const char *pattern);

/* Connects to an address of this run; -1 when that fails. */
int kit_connect (int host, int port, int timeout_ms);
int kit_send (int fd, const char *bytes, size_t size);
/* Reads one message: a request (when @is_request) or an answer. Returns 1 when it is whole. */
int kit_read (int fd, int is_request, int timeout_ms, KitMessage *out);
/* Value of a header field, empty when missing. */
const char *kit_field (const KitMessage *message, const char *name, char *out, size_t size);

/* Makes one HTTP call on a new connection; returns the status, 0 without a whole answer. */
int kit_call (int host, int port, const char *method, const char *path, const char *fields,
              const char *body, int timeout_ms, KitMessage *answer);

/* Sends a manifest to the nodes in turn until one acknowledges it; returns 0 after @timeout_ms. */
int kit_submit (KitNode *nodes, int n_nodes, const char *manifest, int timeout_ms);

/* Opens a worker's port and serves in threads; returns 0 on failure. */
int kit_worker_open (KitWorker *worker);
/* The process of the worker ends: its port and all its connections are closed. */
void kit_worker_end (KitWorker *worker);
/* Sends a check-in, or a leave notice when @state is NULL; returns whether it was acknowledged. */
int kit_worker_beat (KitWorker *worker, int node_host, const char *state);

#endif
