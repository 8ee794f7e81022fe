#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_fleet.h"

static const double SLOWDOWN_WEIGHT = 0.2; /* weight of one measurement in the average */
static const double SLOWDOWN_MIN = 0.5;    /* bounds of one measurement */
static const double SLOWDOWN_MAX = 5.0;
static const double FAILURE_WEIGHT = 0.15; /* weight of one outcome in the failure rate */

WlFleet *
wl_fleet_create (void)
{
  WlFleet *fleet = calloc (1, sizeof *fleet);
  if (fleet != NULL)
    fleet->endpoints = calloc (WL_FLEET_ENDPOINTS_MAX, sizeof *fleet->endpoints);
  if (fleet == NULL || fleet->endpoints == NULL)
    abort ();
  return fleet;
}

void
wl_fleet_destroy (WlFleet *fleet)
{
  if (fleet == NULL)
    return;
  free (fleet->endpoints);
  free (fleet->evacuated);
  free (fleet);
}

uint64_t
wl_fleet_key (const char *id)
{
  return XXH64 (id, strlen (id), 0);
}

WlEndpoint *
wl_fleet_find_key (WlFleet *fleet, uint64_t key)
{
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    if (fleet->endpoints[i].key == key)
      return &fleet->endpoints[i];
  return NULL;
}

WlEndpoint *
wl_fleet_find (WlFleet *fleet, const char *id)
{
  WlEndpoint *e = wl_fleet_find_key (fleet, wl_fleet_key (id));
  return e != NULL && strcmp (e->record.id, id) == 0 ? e : NULL;
}

WlEndpoint *
wl_fleet_find_address (WlFleet *fleet, uint32_t address, uint32_t port)
{
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      const WlEndpointRecord *r = &fleet->endpoints[i].record;
      if (r->address == address && r->port == port && !r->has_left)
        return &fleet->endpoints[i];
    }
  return NULL;
}

/* Of several endpoints at one address all but the one that started last have left. */
static void
resolve_address_conflict (WlFleet *fleet, WlEndpointRecord *record)
{
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpointRecord *r = &fleet->endpoints[i].record;
      if (r->address != record->address || r->port != record->port || r == record)
        continue;
      /* A registration is later than anything in a file, whatever the starts are. */
      int is_later = r->is_restored != record->is_restored ? r->is_restored
                                                           : r->started_ms < record->started_ms;
      if (is_later)
        r->has_left = 1;
      else if (!r->has_left)
        record->has_left = 1;
    }
}

/* Whether a text has only characters from @min on, and no DEL. */
static int
is_printable (const char *text, unsigned char min)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < min || *text == 0x7f)
      return 0;
  return 1;
}

int
wl_fleet_is_valid (const WlEndpointRecord *record)
{
  return record->id[0] != '\0' && is_printable (record->id, '!')
         && is_printable (record->service, ' ') && is_printable (record->domain, ' ')
         && record->address != 0 && record->port > 0 && record->port <= UINT16_MAX
         && record->slots > 0 && record->slots <= WL_FLEET_SLOTS_MAX
         && record->started_ms < WL_FLEET_STARTED_MAX_MS
         && record->sequence < WL_FLEET_SEQUENCE_MAX;
}

/* Orders registrations of one id by start, then a departure last, then by sequence. */
static int
is_older (const WlEndpointRecord *a, const WlEndpointRecord *b)
{
  if (a->started_ms != b->started_ms)
    return a->started_ms < b->started_ms;
  if (a->has_left != b->has_left)
    return b->has_left;
  return a->sequence < b->sequence;
}

/*
 * Whether an endpoint that is overdue was heard again, with a lower sequence. Its record then holds
 * a sequence that another writer made up, which must not shut the endpoint out.
 */
static int
is_heard_again (const WlEndpoint *e, const WlEndpointRecord *record, uint64_t contact_us)
{
  return record->started_ms == e->record.started_ms && !record->has_left && !e->record.has_left
         && contact_us > e->last_contact_us + WL_FLEET_OVERDUE_US;
}

/*
 * Whether a record must not replace the known one. A registration has priority over what a node
 * has read from its file, which may be old, damaged, or of another fleet.
 */
static int
is_outdated (const WlEndpoint *e, const WlEndpointRecord *record, uint64_t contact_us)
{
  if (record->is_restored && !e->record.is_restored)
    return 1;
  if (!record->is_restored && e->record.is_restored && record->started_ms == e->record.started_ms
      && record->has_left == e->record.has_left)
    return 0; /* whatever the sequence in the file is */
  return is_older (record, &e->record) && !is_heard_again (e, record, contact_us);
}

static int
is_different (const WlEndpointRecord *a, const WlEndpointRecord *b)
{
  return a->started_ms != b->started_ms || a->is_draining != b->is_draining
         || a->has_left != b->has_left || a->address != b->address || a->port != b->port
         || a->slots != b->slots || strcmp (a->service, b->service) != 0
         || strcmp (a->domain, b->domain) != 0;
}

static int
is_evacuated (const WlFleet *fleet, const char *domain)
{
  for (uint32_t i = 0; i < fleet->n_evacuated; i++)
    if (strcmp (fleet->evacuated[i], domain) == 0)
      return 1;
  return 0;
}

void
wl_fleet_set_evacuated (WlFleet *fleet, const char (*names)[WL_LABEL_SIZE], uint32_t n)
{
  free (fleet->evacuated);
  fleet->evacuated = calloc (n + 1, sizeof *fleet->evacuated);
  if (fleet->evacuated == NULL)
    abort ();
  if (n > 0)
    memcpy (fleet->evacuated, names, n * sizeof *names);
  fleet->n_evacuated = n;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      e->is_evacuated = (uint8_t)is_evacuated (fleet, e->record.domain);
    }
}

/*
 * Applies what a registration says of the warm-up. A repeated one can only shorten it: each copy
 * counts from its own arrival, and copies between nodes would prolong it with every round.
 * Returns 1 when the endpoint becomes cold.
 */
static int
apply_cold (WlEndpoint *e, const WlEndpointRecord *record, int is_repeated, uint64_t now_us)
{
  uint64_t until_us = now_us + (uint64_t)record->cold_left_ms * 1000;
  int was_cold = e->says_cold && now_us < e->cold_until_us;
  if (e->first_contact_us == 0)
    e->first_contact_us = now_us;
  if (is_repeated && (e->returned_us != 0 || (e->says_cold && until_us >= e->cold_until_us)))
    return 0;
  if (record->cold_left_ms == WL_ENDPOINT_COLD_UNKNOWN)
    {
      if (e->returned_us != 0)
        {
          e->first_contact_us = e->returned_us;
          e->says_cold = 0;
        }
      e->returned_us = 0;
      return 0;
    }
  e->says_cold = 1;
  e->cold_until_us = until_us;
  e->returned_us = 0;
  return !was_cold && until_us > now_us;
}

int
wl_fleet_apply (WlFleet *fleet, const WlEndpointRecord *record, uint64_t now_us)
{
  WlEndpoint *e = wl_fleet_find (fleet, record->id);
  uint64_t contact_us = now_us > record->age_us ? now_us - record->age_us : 0;
  if (!wl_fleet_is_valid (record))
    return -1;
  if (e != NULL && is_outdated (e, record, contact_us))
    return -1;
  if (e == NULL && fleet->n_endpoints == WL_FLEET_ENDPOINTS_MAX)
    return -1;
  int is_restart = e != NULL && e->record.started_ms != record->started_ms;
  int is_change = e == NULL || is_different (record, &e->record);
  int is_repeated = e != NULL && !is_restart && record->sequence == e->record.sequence
                    && record->is_restored == e->record.is_restored;
  if (e == NULL)
    e = &fleet->endpoints[fleet->n_endpoints++];
  if (is_change && (is_restart || e->key == 0))
    {
      memset (e, 0, sizeof *e);
      e->slowdown = 1.0;
    }
  /* The contacts were assumed of an endpoint in a file; those of its registrations may be older. */
  if (e->record.is_restored && !record->is_restored)
    e->last_contact_us = e->direct_contact_us = 0;
  uint8_t was_draining = e->record.is_draining && !is_restart;
  uint8_t had_left = e->record.has_left && !is_restart;
  e->record = *record;
  e->record.is_draining |= was_draining;
  e->record.has_left |= had_left;
  e->key = wl_fleet_key (record->id);
  e->is_evacuated = (uint8_t)is_evacuated (fleet, record->domain);
  if (contact_us > e->last_contact_us)
    e->last_contact_us = contact_us;
  int is_cold_change = apply_cold (e, record, is_repeated, now_us) && fleet->reports_cold;
  e->became_cold |= (uint8_t)is_cold_change;
  if (is_change)
    {
      e->changed_us = now_us;
      resolve_address_conflict (fleet, &e->record);
    }
  return is_change ? 1 : is_cold_change ? 2 : 0;
}

static int
is_available (const WlEndpoint *endpoint, uint64_t now_us)
{
  return !endpoint->record.is_draining && !endpoint->record.has_left
         && now_us >= endpoint->ejected_until_us
         && now_us < endpoint->last_contact_us + WL_FLEET_TIMEOUT_US;
}

int
wl_fleet_is_usable (const WlEndpoint *endpoint, uint64_t now_us)
{
  return !endpoint->is_evacuated && is_available (endpoint, now_us);
}

int
wl_fleet_is_withheld (const WlEndpoint *endpoint, uint64_t now_us)
{
  return endpoint->is_evacuated && is_available (endpoint, now_us);
}

int
wl_fleet_is_overdue (const WlEndpoint *endpoint, uint64_t now_us)
{
  return now_us > endpoint->last_contact_us + WL_FLEET_OVERDUE_US;
}

int
wl_fleet_note_remote_ejection (WlEndpoint *endpoint, uint64_t eject_us, uint64_t now_us)
{
  if (now_us < endpoint->success_us + WL_FLEET_RECENT_SUCCESS_US
      || now_us < endpoint->ejected_until_us)
    return 0;
  if (eject_us > WL_FLEET_EJECT_MAX_US)
    eject_us = WL_FLEET_EJECT_MAX_US;
  endpoint->ejected_until_us = now_us + eject_us;
  return 1;
}

void
wl_fleet_defer_timeouts (WlFleet *fleet, uint64_t now_us)
{
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (now_us > e->last_contact_us + WL_FLEET_TIMEOUT_US / 2
          && now_us < e->last_contact_us + WL_FLEET_TIMEOUT_US)
        e->last_contact_us = now_us - WL_FLEET_TIMEOUT_US / 2;
    }
}

void
wl_fleet_note_success (WlEndpoint *endpoint, uint64_t now_us)
{
  endpoint->success_us = now_us;
  endpoint->failures = 0;
  endpoint->eject_us = 0;
  endpoint->failure_rate *= 1.0 - FAILURE_WEIGHT;
}

/* Consecutive failures that eject an endpoint, by the kind of the last one. */
static uint32_t
ejection_threshold (WlFailure failure)
{
  switch (failure)
    {
    case WL_FAILURE_ERROR:
      return WL_FLEET_EJECT_ERRORS;
    case WL_FAILURE_LOST:
      return WL_FLEET_EJECT_FAILURES;
    case WL_FAILURE_REFUSED:
      return 1;
    }
  return WL_FLEET_EJECT_FAILURES;
}

int
wl_fleet_note_failure (WlEndpoint *endpoint, WlFailure failure, uint64_t now_us)
{
  endpoint->failures++;
  endpoint->failure_rate += FAILURE_WEIGHT * (1.0 - endpoint->failure_rate);
  if (endpoint->failures < ejection_threshold (failure))
    return 0;
  if (now_us < endpoint->ejected_until_us)
    return 0;
  endpoint->eject_us = endpoint->eject_us == 0 ? WL_FLEET_EJECT_MIN_US : 2 * endpoint->eject_us;
  if (endpoint->eject_us > WL_FLEET_EJECT_MAX_US)
    endpoint->eject_us = WL_FLEET_EJECT_MAX_US;
  endpoint->ejected_until_us = now_us + endpoint->eject_us;
  return 1;
}

double
wl_fleet_slowdown (const WlEndpoint *endpoint, uint64_t now_us)
{
  double age = (double)(now_us - endpoint->slowdown_us) / WL_FLEET_SLOWDOWN_DECAY_US;
  return 1.0 + (endpoint->slowdown - 1.0) / (1.0 + age);
}

void
wl_fleet_note_slowdown (WlEndpoint *endpoint, double ratio, uint64_t now_us)
{
  double slowdown = wl_fleet_slowdown (endpoint, now_us);
  if (ratio < SLOWDOWN_MIN)
    ratio = SLOWDOWN_MIN;
  if (ratio > SLOWDOWN_MAX)
    ratio = SLOWDOWN_MAX;
  endpoint->slowdown = slowdown + SLOWDOWN_WEIGHT * (ratio - slowdown);
  endpoint->slowdown_us = now_us;
}

uint64_t
wl_fleet_cold_until_us (const WlEndpoint *endpoint, uint64_t cold_start_us)
{
  if (endpoint->returned_us != 0)
    return UINT64_MAX;
  return endpoint->says_cold ? endpoint->cold_until_us : endpoint->first_contact_us + cold_start_us;
}

uint32_t
wl_fleet_cold_left_ms (const WlEndpoint *endpoint, uint64_t now_us)
{
  if (!endpoint->says_cold)
    return WL_ENDPOINT_COLD_UNKNOWN;
  if (now_us >= endpoint->cold_until_us)
    return 0;
  return (uint32_t)((endpoint->cold_until_us - now_us + 999) / 1000);
}

void
wl_fleet_note_cold (WlEndpoint *endpoint, uint64_t left_us, uint64_t now_us)
{
  if (endpoint->says_cold && now_us + left_us <= endpoint->cold_until_us)
    return;
  endpoint->says_cold = 1;
  endpoint->cold_until_us = now_us + left_us;
}

void
wl_fleet_note_returned (WlEndpoint *endpoint, uint64_t now_us)
{
  endpoint->returned_us = now_us;
}

void
wl_fleet_note_replaced (WlEndpoint *endpoint)
{
  endpoint->record.has_left = 1;
}

void
wl_fleet_expire (WlFleet *fleet, uint64_t now_us)
{
  for (uint32_t i = 0; i < fleet->n_endpoints;)
    {
      if (now_us > fleet->endpoints[i].last_contact_us + WL_FLEET_EXPIRY_US)
        {
          fleet->endpoints[i] = fleet->endpoints[--fleet->n_endpoints];
          memset (&fleet->endpoints[fleet->n_endpoints], 0, sizeof (WlEndpoint));
        }
      else
        i++;
    }
}
