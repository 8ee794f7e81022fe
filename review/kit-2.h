#ifndef KIT_2_H
#define KIT_2_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/*
 * Stand-ins for the cases of the second review: nodes as processes, workers, an operator and
 * clients, on loopback addresses and the real clock. A case is a program that uses them.
 */

enum
{
  KIT_NODES_MAX = 8,
  KIT_WORKERS_MAX = 16,
  KIT_CHANNELS_MAX = 256,
  KIT_TEXT_SIZE = 128,
  KIT_HEAD_SIZE = 16384,
  KIT_BODY_SIZE = 65536,
  KIT_HEARTBEAT_MS = 1200,
};

/** struct KitNode - a process of the system */
typedef struct
{
  int index;
  char ip[KIT_TEXT_SIZE];
  char settings[512];
  pid_t pid;
  int64_t started_ms;
} KitNode;

struct KitWorker;

/** struct KitChannel - an open channel at a worker; @is_cut: it is to be reset */
typedef struct
{
  struct KitWorker *worker;
  int fd;
  int slot;
  volatile int is_cut;
} KitChannel;

/** struct KitCall - a request at a worker, and what is known of it */
typedef struct
{
  struct KitWorker *worker;
  KitChannel *channel;
  char *head;
  char id[KIT_TEXT_SIZE];
  char path[256];
  char prefix[8192];
  char tenant[KIT_TEXT_SIZE];
  int64_t at_ms;
} KitCall;

/**
 * struct KitWorker - a stand-in for a worker
 * @events: events of a streaming answer, @gap_ms apart; 0 for a plain answer after @work_ms
 * @bad_part: part of a prompt at which it crashes when it begins to write; empty for none
 * @version: of its weights; a request that expects another one gets 421
 * @keeps_id: it starts again under the id that it had
 * @says_leaving: its answers have Server-Leaving: 1
 * @holds_checkins: its check-ins are late: none arrives
 */
typedef struct KitWorker
{
  int index;
  char service[KIT_TEXT_SIZE];
  char id[KIT_TEXT_SIZE];
  char ip[KIT_TEXT_SIZE];
  int port;
  int slots;
  int events, gap_ms, work_ms;
  const char *bad_part;
  int keeps_id;
  int version;
  int down_ms;
  volatile int says_leaving, holds_checkins, is_draining;
  volatile int is_up;
  volatile int64_t born_ms;
  volatile int seq;
  int boots;
  int listener;
  KitChannel *channels[KIT_CHANNELS_MAX];
  pthread_mutex_t mutex;
} KitWorker;

/** struct KitAnswer - what a client saw; @status 0: no answer; @is_whole: with its end */
typedef struct
{
  int status;
  int is_whole;
  int body_bytes;
  int64_t sent_ms, ended_ms;
  double retry_after_s;
} KitAnswer;

/** struct KitBody - room for the body of an answer */
typedef struct
{
  char *text;
  size_t size, used;
} KitBody;

/** struct KitRequest - what a client sends */
typedef struct
{
  const char *id, *path, *key, *prefix;
  int tokens;
  int deadline_ms;
  int is_get;
  int expected_version; /* of the weights, 0 for none */
} KitRequest;

/**
 * kit_n_disks, kit_tolerated - machines with a disk, and how many may be lost at once: 3 and 1.
 * With 1 the settings have the bounds of trevino-loft, else those of epistrofes-ath-grown.
 */
extern int kit_n_disks, kit_tolerated;
extern KitNode kit_nodes[KIT_NODES_MAX];
extern int kit_n_nodes;
extern KitWorker kit_workers[KIT_WORKERS_MAX];
extern int kit_n_workers;

/** kit_arrived() - given by the case: a request has arrived at a worker; return 1 to crash it */
extern void (*kit_arrived) (const KitCall *call);
extern void (*kit_crashed) (const KitCall *call);

/** kit_begin() - makes the temporary folder, and the record at @path; addresses are of this run */
void kit_begin (const char *path);

/** kit_now_ms() - steady time since kit_begin() */
int64_t kit_now_ms (void);
void kit_sleep_until (int64_t ms);

/** kit_log() - writes a line to the record, with its time */
void kit_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** kit_start_nodes() - starts @n nodes, of which the first kit_n_disks have a disk */
void kit_start_nodes (int n);

/** kit_prepare_nodes() - the same, but for the start of each */
void kit_prepare_nodes (int n);
void kit_start_node (KitNode *node);

/** kit_signal_node() - stops a node for a while, or lets it go on */
void kit_signal_node (const KitNode *node, int signal);

/** kit_kill_node() - ends a node by a signal, and waits for it */
void kit_kill_node (KitNode *node, int signal);

/** kit_wipe_node() - empties the disk of a node that does not run */
void kit_wipe_node (const KitNode *node);
int kit_wait_ready (int limit_ms);

KitWorker *kit_add_worker (const char *service, int slots, int events, int gap_ms, int work_ms);
void kit_start_worker (KitWorker *worker);

/** kit_stop_worker() - it exits: its listener and channels are closed */
void kit_stop_worker (KitWorker *worker);

/** kit_checkin() - sends a check-in, or a leave, to a node; return: the status, 0 for none */
int kit_checkin (KitWorker *worker, const KitNode *node, int is_leave);

/** kit_replace_config() - sends a manifest until it is acknowledged; return: the last status */
int kit_replace_config (const char *text, int limit_ms);

/** kit_read_config() - reads the manifest at a node once; return: the status, 0 for none */
int kit_read_config (const KitNode *node, KitBody *out);

/** kit_send() - sends a request to a node on a new channel, and reads its answer */
KitAnswer kit_send (const KitNode *node, const KitRequest *request);

/** kit_end() - ends all processes, logs the verdict, and returns the exit status of the case */
int kit_end (int is_broken);

/** kit_fail() - ends the case as one that could not run */
void kit_fail (const char *reason) __attribute__ ((noreturn));

int kit_has_trouble (void);

#endif
