#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>
#include "wl_effects.h"

WlEffects *
wl_effects_create (void)
{
  WlEffects *fx = calloc (1, sizeof *fx);
  if (fx == NULL)
    abort ();
  apr_pool_create (&fx->pool, NULL);
  return fx;
}

void
wl_effects_clear (WlEffects *effects)
{
  effects->count = 0;
  apr_pool_clear (effects->pool);
}

void
wl_effects_destroy (WlEffects *effects)
{
  if (effects == NULL)
    return;
  apr_pool_destroy (effects->pool);
  free (effects->items);
  free (effects);
}

int
wl_effect_is_store (const WlEffect *effect)
{
  switch (effect->kind)
    {
    case WL_EFFECT_STORE_TERM:
    case WL_EFFECT_STORE_ENTRY:
    case WL_EFFECT_STORE_TRUNCATE:
    case WL_EFFECT_STORE_SNAPSHOT:
      return 1;
    default:
      return 0;
    }
}

WlEffect *
wl_effects_add (WlEffects *fx, WlEffectKind kind)
{
  if (fx->count == fx->capacity)
    {
      uint32_t capacity = fx->capacity > 0 ? 2 * fx->capacity : 64;
      WlEffect *items = realloc (fx->items, capacity * sizeof *items);
      if (items == NULL)
        abort ();
      fx->items = items;
      fx->capacity = capacity;
    }
  WlEffect *e = &fx->items[fx->count++];
  memset (e, 0, sizeof *e);
  e->kind = kind;
  return e;
}

void
wl_effects_send (WlEffects *fx, uint32_t node, const WlMessage *message)
{
  WlEffect *e = wl_effects_add (fx, WL_EFFECT_SEND);
  e->u.send.node = node;
  e->u.send.kind = message->kind;
  e->u.send.bytes = wl_message_encode (message, fx->pool);
}

void
wl_effects_log (WlEffects *fx, uint32_t number, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  const char *text = apr_pvsprintf (fx->pool, format, args);
  va_end (args);
  WlEffect *e = wl_effects_add (fx, WL_EFFECT_LOG);
  e->u.log.number = number;
  e->u.log.text = text;
}

WlBytes
wl_bytes_copy (apr_pool_t *pool, WlBytes bytes)
{
  WlBytes out = { NULL, bytes.size };
  if (bytes.size > 0)
    out.data = apr_pmemdup (pool, bytes.data, bytes.size);
  return out;
}
