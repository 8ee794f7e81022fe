#include <string.h>
#include "wl_message.h"

static const WlField vote_request_fields[] = {
  WL_U64 (WlVoteRequest, term),
  WL_U32 (WlVoteRequest, candidate),
  WL_U64 (WlVoteRequest, incarnation),
  WL_U64 (WlVoteRequest, last_index),
  WL_U64 (WlVoteRequest, last_term),
  WL_U8 (WlVoteRequest, is_pre_vote),
  WL_END,
};

static const WlField vote_reply_fields[] = {
  WL_U64 (WlVoteReply, term),       WL_U32 (WlVoteReply, voter),  WL_U64 (WlVoteReply, incarnation),
  WL_U8 (WlVoteReply, is_pre_vote), WL_U8 (WlVoteReply, granted), WL_END,
};

const WlField wl_log_entry_fields[] = {
  WL_U64 (WlLogEntry, term),
  WL_U64 (WlLogEntry, index),
  WL_BYTES (WlLogEntry, command),
  WL_END,
};

static const WlField append_request_fields[] = {
  WL_U64 (WlAppendRequest, term),
  WL_U32 (WlAppendRequest, leader),
  WL_U64 (WlAppendRequest, to_incarnation),
  WL_U64 (WlAppendRequest, round),
  WL_U64 (WlAppendRequest, prev_index),
  WL_U64 (WlAppendRequest, prev_term),
  WL_U64 (WlAppendRequest, commit),
  WL_ARRAY (WlAppendRequest, entries, n_entries, wl_log_entry_fields),
  WL_END,
};

static const WlField append_reply_fields[] = {
  WL_U64 (WlAppendReply, term),
  WL_U32 (WlAppendReply, follower),
  WL_U64 (WlAppendReply, incarnation),
  WL_U64 (WlAppendReply, round),
  WL_U8 (WlAppendReply, ok),
  WL_U64 (WlAppendReply, match),
  WL_END,
};

static const WlField snapshot_chunk_fields[] = {
  WL_U64 (WlSnapshotChunk, term),           WL_U32 (WlSnapshotChunk, leader),
  WL_U64 (WlSnapshotChunk, to_incarnation), WL_U64 (WlSnapshotChunk, round),
  WL_U64 (WlSnapshotChunk, index),          WL_U64 (WlSnapshotChunk, index_term),
  WL_U32 (WlSnapshotChunk, offset),         WL_U32 (WlSnapshotChunk, total),
  WL_BYTES (WlSnapshotChunk, data),         WL_END,
};

static const WlField snapshot_reply_fields[] = {
  WL_U64 (WlSnapshotReply, term),
  WL_U32 (WlSnapshotReply, follower),
  WL_U64 (WlSnapshotReply, incarnation),
  WL_U64 (WlSnapshotReply, round),
  WL_U64 (WlSnapshotReply, index),
  WL_U32 (WlSnapshotReply, offset),
  WL_END,
};

static const WlField replica_hello_fields[] = {
  WL_U32 (WlReplicaHello, node),
  WL_U64 (WlReplicaHello, incarnation),
  WL_U8 (WlReplicaHello, empty),
  WL_U8 (WlReplicaHello, reply),
  WL_END,
};

static const WlField renew_fields[] = {
  WL_STRUCT (WlLeaseRenewal, member, wl_member_fields),
  WL_U64 (WlLeaseRenewal, incarnation),
  WL_U64 (WlLeaseRenewal, sequence),
  WL_U64 (WlLeaseRenewal, sent_us),
  WL_U64 (WlLeaseRenewal, config_number),
  WL_U64 (WlLeaseRenewal, directory_version),
  WL_U8 (WlLeaseRenewal, leaving),
  WL_END,
};

static const WlField renew_reply_fields[] = {
  WL_U64 (WlLeaseRenewalReply, sequence),
  WL_U64 (WlLeaseRenewalReply, sent_us),
  WL_U32 (WlLeaseRenewalReply, leader),
  WL_U64 (WlLeaseRenewalReply, config_number),
  WL_U8 (WlLeaseRenewalReply, has_delta),
  WL_U8 (WlLeaseRenewalReply, has_config),
  WL_ARRAY (WlLeaseRenewalReply, deltas, n_deltas, wl_config_change_fields),
  WL_BYTES (WlLeaseRenewalReply, config),
  WL_U64 (WlLeaseRenewalReply, directory_version),
  WL_U8 (WlLeaseRenewalReply, has_directory),
  WL_ARRAY (WlLeaseRenewalReply, members, n_members, wl_member_fields),
  WL_ARRAY (WlLeaseRenewalReply, cells, n_cells, wl_cell_lease_fields),
  WL_END,
};

static const WlField config_notice_fields[] = {
  WL_U64 (WlConfigNotice, config_number),
  WL_U64 (WlConfigNotice, directory_version),
  WL_END,
};

static const WlField submit_fields[] = {
  WL_U64 (WlSubmit, id),       WL_U32 (WlSubmit, node),         WL_U64 (WlSubmit, replaces),
  WL_BYTES (WlSubmit, config), WL_U8 (WlSubmit, is_compressed), WL_END,
};

static const WlField submit_reply_fields[] = {
  WL_U64 (WlSubmitReply, id),      WL_U8 (WlSubmitReply, outcome),  WL_U64 (WlSubmitReply, number),
  WL_BLOB (WlSubmitReply, digest), WL_U64 (WlSubmitReply, current), WL_END,
};

static const WlField evacuate_fields[] = {
  WL_U64 (WlEvacuate, id),       WL_U32 (WlEvacuate, node),     WL_TEXT (WlEvacuate, domain),
  WL_U64 (WlEvacuate, sequence), WL_U8 (WlEvacuate, is_finish), WL_END,
};

static const WlField query_fields[] = {
  WL_U64 (WlQuery, id),
  WL_U32 (WlQuery, node),
  WL_U64 (WlQuery, number),
  WL_END,
};

static const WlField entry_status_fields[] = {
  WL_U32 (WlEntryStatus, node),
  WL_U64 (WlEntryStatus, config_number),
  WL_U64 (WlEntryStatus, last_contact_age_us),
  WL_U8 (WlEntryStatus, lease_valid),
  WL_END,
};

static const WlField query_reply_fields[] = {
  WL_U64 (WlQueryReply, id),
  WL_U32 (WlQueryReply, leader),
  WL_U64 (WlQueryReply, term),
  WL_U64 (WlQueryReply, commit),
  WL_U64 (WlQueryReply, config_number),
  WL_U64 (WlQueryReply, config_in_force),
  WL_ARRAY (WlQueryReply, entries, n_entries, entry_status_fields),
  WL_ARRAY (WlQueryReply, voters, n_voters, wl_replica_fields),
  WL_ARRAY (WlQueryReply, roots, n_roots, wl_receipt_root_fields),
  WL_U32 (WlQueryReply, n_claims),
  WL_U8 (WlQueryReply, has_config),
  WL_BYTES (WlQueryReply, config),
  WL_U8 (WlQueryReply, is_compressed),
  WL_END,
};

static const WlField claim_fields[] = {
  WL_STRUCT (WlClaim, record, wl_claim_record_fields),
  WL_END,
};

static const WlField claim_reply_fields[] = {
  WL_U64 (WlClaimReply, id),
  WL_U8 (WlClaimReply, granted),
  WL_STRUCT (WlClaimReply, record, wl_claim_record_fields),
  WL_END,
};

static const WlField claim_end_fields[] = {
  WL_STRUCT (WlClaimEnd, record, wl_claim_record_fields),
  WL_END,
};

static const WlField claim_end_reply_fields[] = {
  WL_U64 (WlClaimEndReply, id),
  WL_END,
};

static const WlField root_fields[] = {
  WL_STRUCT (WlRoot, root, wl_receipt_root_fields),
  WL_END,
};

static const WlField not_leader_fields[] = {
  WL_U32 (WlNotLeader, leader),
  WL_END,
};

static const WlField prefix_mark_fields[] = {
  WL_U64 (WlPrefixHash, hash),
  WL_U32 (WlPrefixHash, tokens),
  WL_END,
};

static const WlField avoid_fields[] = {
  WL_U64 (WlExcludedEndpoint, endpoint),
  WL_END,
};

static const WlField place_fields[] = {
  WL_U32 (WlPlacementRequest, node),
  WL_U64 (WlPlacementRequest, request),
  WL_U32 (WlPlacementRequest, attempt),
  WL_TEXT (WlPlacementRequest, service),
  WL_U32 (WlPlacementRequest, shard),
  WL_TEXT (WlPlacementRequest, customer),
  WL_TEXT (WlPlacementRequest, domain),
  WL_U64 (WlPlacementRequest, prompt_tokens),
  WL_U64 (WlPlacementRequest, max_tokens),
  WL_U64 (WlPlacementRequest, remaining_us),
  WL_U64 (WlPlacementRequest, waited_us),
  WL_ARRAY (WlPlacementRequest, prefixes, n_prefixes, prefix_mark_fields),
  WL_ARRAY (WlPlacementRequest, excluded, n_excluded, avoid_fields),
  WL_END,
};

static const WlField seat_fields[] = {
  WL_U64 (WlGrantEndpoint, endpoint),
  WL_TEXT (WlGrantEndpoint, address),
  WL_U32 (WlGrantEndpoint, port),
  WL_U64 (WlGrantEndpoint, kv_tokens),
  WL_END,
};

static const WlField grant_fields[] = {
  WL_TEXT (WlGrant, service),
  WL_U32 (WlGrant, shard),
  WL_U64 (WlGrant, fence),
  WL_U64 (WlGrant, request),
  WL_U32 (WlGrant, attempt),
  WL_U32 (WlGrant, priority),
  WL_U64 (WlGrant, cached_tokens),
  WL_U64 (WlGrant, expires_us),
  WL_U64 (WlGrant, queued_us),
  WL_ARRAY (WlGrant, endpoints, n_endpoints, seat_fields),
  WL_END,
};

static const WlField place_refusal_fields[] = {
  WL_U64 (WlPlacementRefusal, request),
  WL_U32 (WlPlacementRefusal, attempt),
  WL_U8 (WlPlacementRefusal, reason),
  WL_U64 (WlPlacementRefusal, retry_after_us),
  WL_END,
};

static const WlField held_grant_fields[] = {
  WL_U64 (WlHeldGrant, request),
  WL_U32 (WlHeldGrant, attempt),
  WL_TEXT (WlHeldGrant, customer),
  WL_U64 (WlHeldGrant, prompt_tokens),
  WL_U64 (WlHeldGrant, max_tokens),
  WL_U8 (WlHeldGrant, first_token),
  WL_ARRAY (WlHeldGrant, endpoints, n_endpoints, seat_fields),
  WL_END,
};

static const WlField note_fields[] = {
  WL_U64 (WlAttemptUpdate, request),
  WL_U32 (WlAttemptUpdate, attempt),
  WL_U8 (WlAttemptUpdate, first_token),
  WL_U8 (WlAttemptUpdate, ended),
  WL_U8 (WlAttemptUpdate, result),
  WL_U64 (WlAttemptUpdate, cached_tokens),
  WL_U64 (WlAttemptUpdate, prefill_us),
  WL_U64 (WlAttemptUpdate, failed_endpoint),
  WL_END,
};

static const WlField hold_fields[] = {
  WL_U32 (WlGrantRenewal, node),
  WL_U64 (WlGrantRenewal, incarnation),
  WL_TEXT (WlGrantRenewal, service),
  WL_U32 (WlGrantRenewal, shard),
  WL_U64 (WlGrantRenewal, fence),
  WL_U64 (WlGrantRenewal, sequence),
  WL_U8 (WlGrantRenewal, full),
  WL_U32 (WlGrantRenewal, n_held),
  WL_ARRAY (WlGrantRenewal, grants, n_grants, held_grant_fields),
  WL_ARRAY (WlGrantRenewal, updates, n_updates, note_fields),
  WL_END,
};

static const WlField hold_reply_fields[] = {
  WL_TEXT (WlGrantRenewalReply, service),
  WL_U32 (WlGrantRenewalReply, shard),
  WL_U64 (WlGrantRenewalReply, fence),
  WL_U64 (WlGrantRenewalReply, sequence),
  WL_U8 (WlGrantRenewalReply, want_full),
  WL_U8 (WlGrantRenewalReply, ready),
  WL_END,
};

static const WlField running_fields[] = {
  WL_U64 (WlRunningAttempt, request),
  WL_U32 (WlRunningAttempt, attempt),
  WL_END,
};

static const WlField loaded_fields[] = {
  WL_TEXT (WlLoadedModel, name),
  WL_TEXT (WlLoadedModel, version),
  WL_END,
};

static const WlField endpoint_report_fields[] = {
  WL_U64 (WlEndpointReport, endpoint),
  WL_U64 (WlEndpointReport, incarnation),
  WL_U64 (WlEndpointReport, sequence),
  WL_TEXT (WlEndpointReport, name),
  WL_TEXT (WlEndpointReport, service),
  WL_TEXT (WlEndpointReport, address),
  WL_U32 (WlEndpointReport, port),
  WL_TEXT (WlEndpointReport, domain),
  WL_U64 (WlEndpointReport, kv_capacity),
  WL_U64 (WlEndpointReport, kv_used),
  WL_U32 (WlEndpointReport, slots),
  WL_U8 (WlEndpointReport, leaving),
  WL_U64 (WlEndpointReport, fence),
  WL_ARRAY (WlEndpointReport, running, n_running, running_fields),
  WL_ARRAY (WlEndpointReport, loaded, n_loaded, loaded_fields),
  WL_ARRAY (WlEndpointReport, cached, n_cached, prefix_mark_fields),
  WL_ARRAY (WlEndpointReport, evicted, n_evicted, prefix_mark_fields),
  WL_END,
};

typedef struct
{
  const char *name;
  const WlField *fields;
} KindInfo;

static const KindInfo kinds[WL_MESSAGE_KINDS] = {
  [WL_MESSAGE_VOTE_REQUEST] = { "vote_request", vote_request_fields },
  [WL_MESSAGE_VOTE_REPLY] = { "vote_reply", vote_reply_fields },
  [WL_MESSAGE_APPEND_REQUEST] = { "append_request", append_request_fields },
  [WL_MESSAGE_APPEND_REPLY] = { "append_reply", append_reply_fields },
  [WL_MESSAGE_SNAPSHOT_CHUNK] = { "snapshot_chunk", snapshot_chunk_fields },
  [WL_MESSAGE_SNAPSHOT_REPLY] = { "snapshot_reply", snapshot_reply_fields },
  [WL_MESSAGE_REPLICA_HELLO] = { "replica_hello", replica_hello_fields },
  [WL_MESSAGE_RENEW] = { "renew", renew_fields },
  [WL_MESSAGE_RENEW_REPLY] = { "renew_reply", renew_reply_fields },
  [WL_MESSAGE_CONFIG_NOTICE] = { "config_notice", config_notice_fields },
  [WL_MESSAGE_SUBMIT] = { "submit", submit_fields },
  [WL_MESSAGE_SUBMIT_REPLY] = { "submit_reply", submit_reply_fields },
  [WL_MESSAGE_QUERY] = { "query", query_fields },
  [WL_MESSAGE_QUERY_REPLY] = { "query_reply", query_reply_fields },
  [WL_MESSAGE_CLAIM] = { "claim", claim_fields },
  [WL_MESSAGE_CLAIM_REPLY] = { "claim_reply", claim_reply_fields },
  [WL_MESSAGE_CLAIM_END] = { "claim_end", claim_end_fields },
  [WL_MESSAGE_CLAIM_END_REPLY] = { "claim_end_reply", claim_end_reply_fields },
  [WL_MESSAGE_ROOT] = { "root", root_fields },
  [WL_MESSAGE_NOT_LEADER] = { "not_leader", not_leader_fields },
  [WL_MESSAGE_PLACE] = { "place", place_fields },
  [WL_MESSAGE_GRANT] = { "grant", grant_fields },
  [WL_MESSAGE_PLACE_REFUSAL] = { "place_refusal", place_refusal_fields },
  [WL_MESSAGE_HOLD] = { "hold", hold_fields },
  [WL_MESSAGE_HOLD_REPLY] = { "hold_reply", hold_reply_fields },
  [WL_MESSAGE_ENDPOINT_REPORT] = { "endpoint_report", endpoint_report_fields },
  [WL_MESSAGE_NODE_STATUS] = { "node_status", wl_node_status_fields },
  [WL_MESSAGE_ENDPOINTS] = { "endpoints", wl_endpoints_fields },
  [WL_MESSAGE_LOAD_REPORT] = { "work", wl_load_report_fields },
  [WL_MESSAGE_CONFIG_PULL] = { "text_pull", wl_config_pull_fields },
  [WL_MESSAGE_CONFIG_PUSH] = { "text_push", wl_config_push_fields },
  [WL_MESSAGE_SUSPICION] = { "suspicion", wl_suspicion_fields },
  [WL_MESSAGE_NODE_REPORT] = { "node_report", wl_membership_report_fields },
  [WL_MESSAGE_LOAD_REPORTS] = { "works", wl_load_reports_fields },
  [WL_MESSAGE_PART_REPORT] = { "part_report", wl_part_report_fields },
  [WL_MESSAGE_LIMIT_REPORT] = { "limit_report", wl_limit_report_fields },
  [WL_MESSAGE_PERMIT_ASK] = { "permit_ask", wl_permit_ask_fields },
  [WL_MESSAGE_PERMIT_ANSWER] = { "permit_answer", wl_permit_answer_fields },
  [WL_MESSAGE_PERMIT_RETURN] = { "permit_return", wl_permit_return_fields },
  [WL_MESSAGE_EVACUATE] = { "evacuate", evacuate_fields },
};

typedef struct
{
  uint32_t kind;
  WlBytes body;
} Envelope;

static const WlField envelope_fields[] = {
  WL_U32 (Envelope, kind),
  WL_BYTES (Envelope, body),
  WL_END,
};

WlBytes
wl_message_encode (const WlMessage *message, apr_pool_t *pool)
{
  Envelope e = { .kind = message->kind };
  e.body = wl_encode_bytes (kinds[message->kind].fields, &message->u, pool);
  return wl_encode_bytes (envelope_fields, &e, pool);
}

WlError
wl_message_decode (WlBytes bytes, WlMessage *out, apr_pool_t *pool)
{
  Envelope e = { 0 };
  memset (out, 0, sizeof *out);
  if (wl_decode_bytes (bytes, envelope_fields, &e, pool) != WL_OK)
    return WL_ERROR_INVALID;
  if (e.kind >= WL_MESSAGE_KINDS || kinds[e.kind].fields == NULL)
    return WL_ERROR_INVALID;
  out->kind = (WlMessageKind)e.kind;
  return wl_decode_bytes (e.body, kinds[e.kind].fields, &out->u, pool);
}

const char *
wl_message_name (WlMessageKind kind)
{
  return (unsigned)kind < WL_MESSAGE_KINDS && kinds[kind].name != NULL ? kinds[kind].name : "?";
}

const char *
wl_refusal_name (WlRefusalReason reason)
{
  static const char *const names[WL_REFUSALS] = {
    [WL_REFUSAL_NONE] = "none",
    [WL_REFUSAL_TOO_LARGE] = "too_large",
    [WL_REFUSAL_QUEUE_FULL] = "queue_full",
    [WL_REFUSAL_TIME_LIMIT] = "time_limit",
    [WL_REFUSAL_NO_ENDPOINT] = "no_endpoint",
    [WL_REFUSAL_CUSTOMER_CAP] = "customer_cap",
    [WL_REFUSAL_NO_CONFIG] = "no_config",
    [WL_REFUSAL_DRAINING] = "draining",
    [WL_REFUSAL_NO_OWNER] = "no_owner",
    [WL_REFUSAL_CLAIM_TAKEN] = "claim_taken",
    [WL_REFUSAL_CLAIM_UNKNOWN] = "claim_unknown",
    [WL_REFUSAL_KEY_REUSED] = "key_reused",
    [WL_REFUSAL_OVERLOAD] = "overload",
  };
  return (unsigned)reason < WL_REFUSALS ? names[reason] : "?";
}
