#include <string.h>
#include "wl_command.h"

const WlField wl_replica_fields[] = {
  WL_U32 (WlReplica, node),
  WL_U64 (WlReplica, incarnation),
  WL_END,
};

const WlField wl_group_fields[] = {
  WL_ARRAY (WlGroup, voters, n_voters, wl_replica_fields),
  WL_END,
};

const WlField wl_config_change_fields[] = {
  WL_U64 (WlConfigChange, replaces),
  WL_U64 (WlConfigChange, number),
  WL_U32 (WlConfigChange, prefix),
  WL_U32 (WlConfigChange, suffix),
  WL_BYTES (WlConfigChange, middle),
  WL_BYTES (WlConfigChange, removed),
  WL_BLOB (WlConfigChange, digest),
  WL_U8 (WlConfigChange, is_compressed),
  WL_U8 (WlConfigChange, is_removed_compressed),
  WL_END,
};

const WlField wl_member_fields[] = {
  WL_U32 (WlMember, node),
  WL_TEXT (WlMember, address),
  WL_U32 (WlMember, peer_port),
  WL_U32 (WlMember, http_port),
  WL_TEXT (WlMember, domain),
  WL_U8 (WlMember, draining),
  WL_END,
};

const WlField wl_cell_lease_fields[] = {
  WL_TEXT (WlCellLease, service),
  WL_U32 (WlCellLease, shard),
  WL_U32 (WlCellLease, owner),
  WL_U64 (WlCellLease, fence),
  WL_END,
};

const WlField wl_claim_record_fields[] = {
  WL_TEXT (WlClaimRecord, customer),
  WL_TEXT (WlClaimRecord, key),
  WL_U64 (WlClaimRecord, request),
  WL_U32 (WlClaimRecord, node),
  WL_U64 (WlClaimRecord, incarnation),
  WL_BLOB (WlClaimRecord, digest),
  WL_U8 (WlClaimRecord, status),
  WL_U32 (WlClaimRecord, http_status),
  WL_BYTES (WlClaimRecord, body),
  WL_U64 (WlClaimRecord, expires_us),
  WL_END,
};

const WlField wl_receipt_root_fields[] = {
  WL_U32 (WlReceiptRoot, node),     WL_U64 (WlReceiptRoot, incarnation),
  WL_U64 (WlReceiptRoot, sequence), WL_U64 (WlReceiptRoot, receipts),
  WL_BLOB (WlReceiptRoot, root),    WL_END,
};

const WlField wl_evacuation_fields[] = {
  WL_TEXT (WlEvacuation, domain),
  WL_U64 (WlEvacuation, sequence),
  WL_U8 (WlEvacuation, is_active),
  WL_END,
};

static const WlField accepted_fields[] = {
  WL_U64 (WlAcceptedConfig, number),
  WL_BLOB (WlAcceptedConfig, digest),
  WL_END,
};

const WlField wl_state_snapshot_fields[] = {
  WL_U64 (WlStateSnapshot, config_number),
  WL_BYTES (WlStateSnapshot, config),
  WL_ARRAY (WlStateSnapshot, history, n_history, accepted_fields),
  WL_ARRAY (WlStateSnapshot, recent_changes, n_recent_changes, wl_config_change_fields),
  WL_ARRAY (WlStateSnapshot, members, n_members, wl_member_fields),
  WL_ARRAY (WlStateSnapshot, cells, n_cells, wl_cell_lease_fields),
  WL_ARRAY (WlStateSnapshot, claims, n_claims, wl_claim_record_fields),
  WL_ARRAY (WlStateSnapshot, roots, n_roots, wl_receipt_root_fields),
  WL_ARRAY (WlStateSnapshot, voters, n_voters, wl_replica_fields),
  WL_U64 (WlStateSnapshot, group_time_us),
  WL_U64 (WlStateSnapshot, directory_version),
  WL_ARRAY (WlStateSnapshot, evacuations, n_evacuations, wl_evacuation_fields),
  WL_END,
};

static const WlField no_fields[] = { WL_END };

static const WlField *
command_fields (WlCommandKind kind)
{
  switch (kind)
    {
    case WL_COMMAND_GROUP:
      return wl_group_fields;
    case WL_COMMAND_CONFIG:
      return wl_config_change_fields;
    case WL_COMMAND_MEMBER_PUT:
    case WL_COMMAND_MEMBER_REMOVE:
      return wl_member_fields;
    case WL_COMMAND_CELL:
      return wl_cell_lease_fields;
    case WL_COMMAND_CLAIM:
    case WL_COMMAND_CLAIM_END:
      return wl_claim_record_fields;
    case WL_COMMAND_RECEIPT_ROOT:
      return wl_receipt_root_fields;
    case WL_COMMAND_EVACUATION:
      return wl_evacuation_fields;
    case WL_COMMAND_NONE:
    case WL_COMMAND_KINDS:
      break;
    }
  return no_fields;
}

typedef struct
{
  uint32_t kind;
  uint64_t time_us;
  WlBytes body;
} Envelope;

static const WlField envelope_fields[] = {
  WL_U32 (Envelope, kind),
  WL_U64 (Envelope, time_us),
  WL_BYTES (Envelope, body),
  WL_END,
};

WlBytes
wl_command_encode (const WlCommand *command, apr_pool_t *pool)
{
  Envelope e = { .kind = command->kind, .time_us = command->time_us };
  e.body = wl_encode_bytes (command_fields (command->kind), &command->u, pool);
  return wl_encode_bytes (envelope_fields, &e, pool);
}

WlError
wl_command_decode (WlBytes bytes, WlCommand *out, apr_pool_t *pool)
{
  Envelope e = { 0 };
  memset (out, 0, sizeof *out);
  if (wl_decode_bytes (bytes, envelope_fields, &e, pool) != WL_OK)
    return WL_ERROR_INVALID;
  if (e.kind >= WL_COMMAND_KINDS)
    return WL_ERROR_INVALID;
  out->kind = (WlCommandKind)e.kind;
  out->time_us = e.time_us;
  return wl_decode_bytes (e.body, command_fields (out->kind), &out->u, pool);
}
