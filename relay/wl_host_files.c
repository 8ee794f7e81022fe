#include <string.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/*
 * Files that a node with a disk keeps in addition to the replicated log. After
 * a power loss of all nodes no other node has this information. Without the
 * endpoints and the configuration the restart only takes longer; without the
 * evidence on parts of prompts, a part that ends engines has to end some more;
 * without the founders the node cannot found the control group.
 */

typedef struct
{
  uint32_t node;
} Founder;

typedef struct
{
  Founder *founders;
  uint32_t n_founders;
} FoundersFile;

static const WlField founder_fields[] = { WL_U32 (Founder, node), WL_END };
static const WlField founders_file_fields[] = {
  WL_ARRAY (FoundersFile, founders, n_founders, founder_fields),
  WL_END,
};

static const char founders_file[] = "founders";
static const char endpoints_file[] = "endpoints";
static const char config_file[] = "text";
static const char parts_file[] = "parts";

/* ---- founders of the control group ---- */

WlError
wl_host_save_founders (const WlHost *host, WlDisk *disk)
{
  Founder founders[WL_HOST_SEEDS_MAX];
  FoundersFile file = { founders, host->options.n_seeds };
  apr_pool_t *pool;
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    founders[i].node = host->options.seeds[i];
  apr_pool_create (&pool, NULL);
  WlError error
      = wl_disk_save (disk, founders_file, wl_encode_bytes (founders_file_fields, &file, pool));
  apr_pool_destroy (pool);
  return error;
}

void
wl_host_load_founders (WlHost *host, WlDisk *disk)
{
  FoundersFile file = { 0 };
  WlBytes bytes;
  apr_pool_t *pool;
  int has_self = 0;
  apr_pool_create (&pool, NULL);
  WlError error = wl_disk_load (disk, founders_file, pool, &bytes);
  if (error == WL_OK)
    error = wl_decode_bytes (bytes, founders_file_fields, &file, pool);
  if (error == WL_OK && file.n_founders > WL_HOST_SEEDS_MAX)
    error = WL_ERROR_CORRUPT;
  host->lacks_founders = error != WL_OK;
  if (error != WL_OK)
    wl_log_eventf (WL1010_SAVED_FILE_UNUSABLE, "file=%s error=\"%s\"", founders_file,
                   wl_strerror (error));
  for (uint32_t i = 0; error == WL_OK && i < file.n_founders; i++)
    {
      host->founders[i] = file.founders[i].node;
      has_self |= host->founders[i] == host->options.node;
    }
  host->n_founders = has_self ? file.n_founders : 0;
  apr_pool_destroy (pool);
}

/* ---- endpoints ---- */

/*
 * Whether an endpoint belongs in the file. A silent one would be used again after a restart of all
 * nodes. One that drains or has left is saved so that older files do not bring it back.
 */
static int
is_worth_saving (const WlEndpoint *e, uint64_t now_us)
{
  return e->record.is_draining || e->record.has_left
         || now_us < e->last_contact_us + WL_FLEET_TIMEOUT_US;
}

static void
save_endpoints (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
  apr_pool_t *pool;
  uint32_t n_endpoints = host->fleet->n_endpoints;
  if (!host->has_new_endpoints || now_us < host->endpoints_saved_us + WL_HOST_SAVE_INTERVAL_US)
    return;
  host->has_new_endpoints = 0;
  host->endpoints_saved_us = now_us;
  apr_pool_create (&pool, NULL);
  m.u.endpoints.records = apr_palloc (pool, (n_endpoints + 1) * sizeof *m.u.endpoints.records);
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      const WlEndpoint *e = &host->fleet->endpoints[i];
      if (!is_worth_saving (e, now_us))
        continue;
      WlEndpointRecord *record = &m.u.endpoints.records[m.u.endpoints.n_records++];
      *record = e->record;
      record->cold_left_ms = wl_fleet_cold_left_ms (e, now_us);
    }
  wl_journal_save (host->journal, endpoints_file, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
}

static WlError
restore_endpoints (WlHost *host, const WlMessage *m)
{
  if (m->kind != WL_MESSAGE_ENDPOINTS)
    return WL_ERROR_CORRUPT;
  wl_membership_restore (host->membership, m->u.endpoints.records, m->u.endpoints.n_records,
                         wl_clock_now_us ());
  return WL_OK;
}

/* ---- configuration ---- */

/* The file contains the message that sends a full configuration to another node. */
static void
save_config (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PUSH };
  apr_pool_t *pool;
  if (host->config_number <= host->saved_config_number
      || now_us < host->config_saved_us + WL_HOST_SAVE_INTERVAL_US)
    return;
  host->saved_config_number = host->config_number;
  host->config_saved_us = now_us;
  m.u.config_push.number = host->config_number;
  wl_host_full_config (host, &m.u.config_push.change);
  apr_pool_create (&pool, NULL);
  wl_journal_save (host->journal, config_file, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
}

static WlError
restore_config (WlHost *host, const WlMessage *m)
{
  WlBytes config;
  apr_pool_t *pool;
  if (m->kind != WL_MESSAGE_CONFIG_PUSH || m->u.config_push.change.replaces != 0)
    return WL_ERROR_CORRUPT;
  apr_pool_create (&pool, NULL);
  WlError error = wl_delta_apply ((WlBytes){ NULL, 0 }, &m->u.config_push.change, pool, &config);
  if (error == WL_OK)
    {
      host->saved_config_number = m->u.config_push.number;
      host->saved_config = wl_bytes_dup (config);
    }
  apr_pool_destroy (pool);
  return error;
}

/* ---- evidence on parts of prompts ---- */

void
wl_host_save_parts (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  apr_pool_t *pool;
  WlQuarantine *q = wl_relay_quarantine (host->relay);
  uint64_t revision = wl_quarantine_revision (q);
  uint64_t interval_us
      = revision != host->parts_saved_revision ? WL_HOST_SAVE_PARTS_US : WL_HOST_RESAVE_PARTS_US;
  int has_changed = revision != host->parts_saved_revision || wl_quarantine_n_entries (q) > 0;
  if (host->journal == NULL || !has_changed || now_us < host->parts_saved_us + interval_us)
    return;
  host->parts_saved_us = now_us;
  host->parts_saved_revision = revision;
  wl_quarantine_save_report (q, now_us, &m.u.part_report);
  apr_pool_create (&pool, NULL);
  wl_journal_save (host->journal, parts_file, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
}

static WlError
restore_parts (WlHost *host, const WlMessage *m)
{
  if (m->kind != WL_MESSAGE_PART_REPORT)
    return WL_ERROR_CORRUPT;
  wl_relay_restore_parts (host->relay, &m->u.part_report, WL_HOST_RESAVE_PARTS_US,
                          wl_clock_now_us ());
  return WL_OK;
}

/* ---- endpoints, configuration, parts ---- */

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
  load_file (host, disk, config_file, restore_config);
  load_file (host, disk, parts_file, restore_parts);
}

void
wl_host_save_files (WlHost *host, uint64_t now_us)
{
  if (host->journal == NULL)
    return;
  save_endpoints (host, now_us);
  save_config (host, now_us);
}
