#include <string.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/*
 * What a node with a disk keeps beside the log, to know it at once after a
 * restart: after a loss of power of all nodes nobody else can tell it. Losing
 * these files costs time only.
 */

enum
{
  /* Restored endpoints register again within two of their intervals, or get no more work. */
  RESTORED_AGE_US = WL_FLEET_SILENCE_US - 2500000,
};

static const char endpoints_file[] = "endpoints";
static const char text_file[] = "text";

/* ---- endpoints ---- */

static void
save_endpoints (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
  apr_pool_t *pool;
  uint32_t n = host->fleet->n_endpoints;
  if (!host->has_new_endpoints || now_us < host->endpoints_saved_us + WL_HOST_SAVE_US)
    return;
  host->has_new_endpoints = 0;
  host->endpoints_saved_us = now_us;
  apr_pool_create (&pool, NULL);
  m.u.endpoints.records = apr_palloc (pool, (n + 1) * sizeof *m.u.endpoints.records);
  m.u.endpoints.n_records = n;
  for (uint32_t i = 0; i < n; i++)
    m.u.endpoints.records[i] = host->fleet->endpoints[i].record;
  wl_journal_save (host->journal, endpoints_file, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
}

static WlError
restore_endpoints (WlHost *host, const WlMessage *m)
{
  uint64_t now_us = wl_clock_now_us ();
  if (m->kind != WL_MESSAGE_ENDPOINTS)
    return WL_ERROR_CORRUPT;
  for (uint32_t i = 0; i < m->u.endpoints.n_records; i++)
    {
      m->u.endpoints.records[i].age_us = RESTORED_AGE_US;
      wl_membership_take_record (host->membership, &m->u.endpoints.records[i], now_us);
    }
  return WL_OK;
}

/* ---- the services text ---- */

/* The file is the message that would tell another node of the whole text. */
static void
save_text (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_TEXT_PUSH };
  apr_pool_t *pool;
  if (host->number <= host->saved_number || now_us < host->text_saved_us + WL_HOST_SAVE_US)
    return;
  host->saved_number = host->number;
  host->text_saved_us = now_us;
  m.u.text_push.number = host->number;
  wl_host_whole_text (host, &m.u.text_push.change);
  apr_pool_create (&pool, NULL);
  wl_journal_save (host->journal, text_file, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
}

static WlError
restore_text (WlHost *host, const WlMessage *m)
{
  WlBytes packed;
  apr_pool_t *pool;
  if (m->kind != WL_MESSAGE_TEXT_PUSH || m->u.text_push.change.replaces != 0)
    return WL_ERROR_CORRUPT;
  apr_pool_create (&pool, NULL);
  WlError error = wl_delta_apply ((WlBytes){ NULL, 0 }, &m->u.text_push.change, pool, &packed);
  if (error == WL_OK)
    {
      host->saved_number = m->u.text_push.number;
      host->saved_text = wl_bytes_dup (packed);
    }
  apr_pool_destroy (pool);
  return error;
}

/* ---- both ---- */

static void
load_file (WlHost *host, WlDisk *disk, const char *name,
           WlError (*restore) (WlHost *host, const WlMessage *message))
{
  WlBytes file;
  WlMessage message;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlError error = wl_disk_load (disk, name, pool, &file);
  if (error == WL_OK)
    error = wl_message_decode (file, &message, pool);
  if (error == WL_OK)
    error = restore (host, &message);
  if (error != WL_OK && error != WL_ERROR_NOT_FOUND)
    wl_log_eventf (WL1010_SAVED_FILE_UNUSABLE, "file=%s error=\"%s\"", name, wl_strerror (error));
  apr_pool_destroy (pool);
}

void
wl_host_load_files (WlHost *host, WlDisk *disk)
{
  load_file (host, disk, endpoints_file, restore_endpoints);
  load_file (host, disk, text_file, restore_text);
}

void
wl_host_save_files (WlHost *host, uint64_t now_us)
{
  if (host->journal == NULL)
    return;
  save_endpoints (host, now_us);
  save_text (host, now_us);
}
