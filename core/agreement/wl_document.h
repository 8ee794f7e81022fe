#ifndef WL_DOCUMENT_H
#define WL_DOCUMENT_H

#include "wl_raft.h"
#include "wl_state.h"

/*
 * One replicated text of which the highest version counts: the mode of the
 * services text that stands beside compare-and-set. A submission with a
 * version that is not higher than the current one is accepted and changes
 * nothing. Committed texts are numbered one by one; the number orders them on
 * every node, the version is the operators' own.
 *
 * The leader proposes one change at a time, so that each is a delta from a
 * committed text, and the highest version that waits first: it answers the
 * lower ones as well. A read is answered once a quorum has confirmed a heartbeat
 * round that began after the read arrived.
 */

enum
{
  WL_DOCUMENT_WAITING_MAX = 64, /* submissions and reads kept at the leader */
  WL_DOCUMENT_WAITING_BYTES = 4 * WL_SERVICES_TEXT_MAX, /* of submissions; more are refused */
  WL_DOCUMENT_WAIT_US = 3000000,                        /* longest time that the leader keeps one */
  WL_DOCUMENT_VERSION_SIZE = 8, /* bytes of the version in front of the text */
};

typedef struct WlDocument WlDocument;

/**
 * wl_document_create() - creates a replica of the text
 * @settings: node id, replica incarnation and seed are used
 * @stored: durable state
 * @now_us: monotonic time
 * @out: receives the replica
 *
 * The replica founds no group before wl_document_set_founders().
 *
 * Return: WL_OK or WL_ERROR_CORRUPT.
 */
WlError wl_document_create (const WlSettings *settings, const WlStored *stored, uint64_t now_us,
                            WlDocument **out);

/** wl_document_destroy() - frees a replica; accepts NULL */
void wl_document_destroy (WlDocument *document);

/**
 * wl_document_set_voters() - sets how many voters the group has
 * @document: the replica
 * @faults: number of lost voters to be tolerated
 */
void wl_document_set_voters (WlDocument *document, uint32_t faults);

/**
 * wl_document_set_founders() - lets the replica found the group
 * @document: the replica
 * @founders: node ids that all start with empty disks, this one among them
 * @n_founders: number of ids
 */
void wl_document_set_founders (WlDocument *document, const uint32_t *founders, uint32_t n_founders);

/** wl_document_add_peer() - makes another node with a disk known */
void wl_document_add_peer (WlDocument *document, uint32_t node);

/**
 * wl_document_receive() - processes a message
 * @document: the replica
 * @from: sender
 * @message: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_document_receive (WlDocument *document, uint32_t from, const WlMessage *message,
                         uint64_t now_us, WlEffects *fx);

/** wl_document_tick() - lets time pass */
void wl_document_tick (WlDocument *document, uint64_t now_us, WlEffects *fx);

/** wl_document_flush() - ends a batch of messages: replicates what was proposed */
void wl_document_flush (WlDocument *document, uint64_t now_us, WlEffects *fx);

/** wl_document_leader() - the leader that the replica knows, 0 for none */
uint32_t wl_document_leader (const WlDocument *document);

/**
 * wl_document_voters() - the voters of the group
 * @document: the replica
 * @out: receives up to WL_MAX_REPLICAS node ids
 *
 * Return: the number of voters.
 */
uint32_t wl_document_voters (const WlDocument *document, uint32_t *out);

/**
 * wl_document_text() - the latest committed text known here
 * @document: the replica
 * @number: receives its number, 0 for none
 *
 * Return: the text with its version in front, see wl_document_unpack().
 */
WlBytes wl_document_text (const WlDocument *document, uint64_t *number);

/**
 * wl_document_change_to() - the change that made a number
 * @document: the replica
 * @number: number of a committed text
 *
 * Return: the change, or NULL when it is no longer remembered.
 */
const WlConfigChange *wl_document_change_to (const WlDocument *document, uint64_t number);

/**
 * struct WlDocumentMemory - bytes that a replica holds, by kind
 * @text: the committed text
 * @changes: the latest changes, kept for nodes that are behind
 * @log: entries that no snapshot covers
 * @snapshot: the latest snapshot
 * @waiting: submissions that wait for their commit
 */
typedef struct
{
  uint64_t text;
  uint64_t changes;
  uint64_t log;
  uint64_t snapshot;
  uint64_t waiting;
} WlDocumentMemory;

/** wl_document_memory() - what a replica holds */
void wl_document_memory (const WlDocument *document, WlDocumentMemory *out);

/** wl_document_pack() - puts a version in front of a text */
WlBytes wl_document_pack (uint64_t version, WlBytes text, apr_pool_t *pool);

/** wl_document_unpack() - splits a packed text; the version of an empty one is 0 */
WlBytes wl_document_unpack (WlBytes packed, uint64_t *version);

#endif
