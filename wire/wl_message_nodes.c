#include "wl_message_nodes.h"

static const WlField node_id_fields[] = {
  WL_U32 (WlNodeId, node),
  WL_END,
};

const WlField wl_node_status_fields[] = {
  WL_U32 (WlNodeStatus, node),
  WL_U64 (WlNodeStatus, boot),
  WL_U64 (WlNodeStatus, sequence),
  WL_TEXT (WlNodeStatus, domain),
  WL_U32 (WlNodeStatus, client_port),
  WL_U8 (WlNodeStatus, has_disk),
  WL_U8 (WlNodeStatus, is_ready),
  WL_U8 (WlNodeStatus, is_draining),
  WL_U64 (WlNodeStatus, config_number),
  WL_U32 (WlNodeStatus, leader),
  WL_ARRAY (WlNodeStatus, peers, n_peers, node_id_fields),
  WL_U8 (WlNodeStatus, subscription),
  WL_U64 (WlNodeStatus, age_us),
  WL_U32 (WlNodeStatus, n_known),
  WL_END,
};

static const WlField endpoint_record_fields[] = {
  WL_TEXT (WlEndpointRecord, id),          WL_TEXT (WlEndpointRecord, service),
  WL_TEXT (WlEndpointRecord, domain),      WL_U32 (WlEndpointRecord, address),
  WL_U32 (WlEndpointRecord, port),         WL_U32 (WlEndpointRecord, slots),
  WL_U64 (WlEndpointRecord, started_ms),   WL_U64 (WlEndpointRecord, sequence),
  WL_U64 (WlEndpointRecord, age_us),       WL_U8 (WlEndpointRecord, is_draining),
  WL_U8 (WlEndpointRecord, has_left),      WL_U8 (WlEndpointRecord, is_restored),
  WL_U32 (WlEndpointRecord, cold_left_ms), WL_END,
};

const WlField wl_endpoints_fields[] = {
  WL_ARRAY (WlEndpoints, records, n_records, endpoint_record_fields),
  WL_END,
};

static const WlField work_note_fields[] = {
  WL_U64 (WlWorkItem, id),
  WL_U64 (WlWorkItem, endpoint),
  WL_U8 (WlWorkItem, phase),
  WL_U8 (WlWorkItem, is_helper_part),
  WL_U32 (WlWorkItem, kv_tokens),
  WL_U32 (WlWorkItem, prefill_tokens),
  WL_U32 (WlWorkItem, prefill_us),
  WL_U32 (WlWorkItem, output_tokens),
  WL_U32 (WlWorkItem, gap_ms),
  WL_U32 (WlWorkItem, predicted_ms),
  WL_END,
};

const WlField wl_load_report_fields[] = {
  WL_U64 (WlLoadReport, boot),
  WL_U8 (WlLoadReport, is_full),
  WL_ARRAY (WlLoadReport, items, n_items, work_note_fields),
  WL_U32 (WlLoadReport, node),
  WL_U8 (WlLoadReport, asks_others),
  WL_END,
};

const WlField wl_load_reports_fields[] = {
  WL_ARRAY (WlLoadReports, reports, n_reports, wl_load_report_fields),
  WL_END,
};

const WlField wl_suspicion_fields[] = {
  WL_U64 (WlSuspicion, endpoint),
  WL_U64 (WlSuspicion, eject_us),
  WL_END,
};

static const WlField part_suspect_fields[] = {
  WL_U64 (WlPartSuspect, part),
  WL_U64 (WlPartSuspect, service),
  WL_U64 (WlPartSuspect, customer),
  WL_END,
};

static const WlField part_end_fields[] = {
  WL_U64 (WlPartEnd, endpoint),
  WL_U64 (WlPartEnd, age_us),
  WL_ARRAY (WlPartEnd, suspects, n_suspects, part_suspect_fields),
  WL_U8 (WlPartEnd, is_restored),
  WL_END,
};

static const WlField sound_part_fields[] = {
  WL_U64 (WlSoundPart, part),
  WL_U64 (WlSoundPart, service),
  WL_U64 (WlSoundPart, age_us),
  WL_END,
};

static const WlField quarantined_part_fields[] = {
  WL_U64 (WlQuarantinedPart, part),       WL_U64 (WlQuarantinedPart, service),
  WL_U64 (WlQuarantinedPart, customer),   WL_U32 (WlQuarantinedPart, n_ends),
  WL_U32 (WlQuarantinedPart, n_trials),   WL_U64 (WlQuarantinedPart, age_us),
  WL_U64 (WlQuarantinedPart, trial_us),   WL_U64 (WlQuarantinedPart, unused_us),
  WL_U8 (WlQuarantinedPart, is_restored), WL_END,
};

const WlField wl_part_report_fields[] = {
  WL_ARRAY (WlPartReport, ends, n_ends, part_end_fields),
  WL_ARRAY (WlPartReport, sound, n_sound, sound_part_fields),
  WL_ARRAY (WlPartReport, quarantined, n_quarantined, quarantined_part_fields),
  WL_U8 (WlPartReport, is_passed_on),
  WL_END,
};

static const WlField endpoint_key_fields[] = {
  WL_U64 (WlEndpointKey, key),
  WL_END,
};

static const WlField limit_word_fields[] = {
  WL_U64 (WlLimitWord, endpoint),
  WL_U64 (WlLimitWord, started_ms),
  WL_U8 (WlLimitWord, has_ended),
  WL_U64 (WlLimitWord, rate),
  WL_U64 (WlLimitWord, sent_age_us),
  WL_U64 (WlLimitWord, heard_age_us),
  WL_END,
};

const WlField wl_limit_report_fields[] = {
  WL_ARRAY (WlLimitReport, words, n_words, limit_word_fields),
  WL_U8 (WlLimitReport, is_passed_on),
  WL_END,
};

const WlField wl_permit_ask_fields[] = {
  WL_U64 (WlPermitAsk, id),
  WL_U64 (WlPermitAsk, service),
  WL_U64 (WlPermitAsk, customer),
  WL_U64 (WlPermitAsk, max_wait_us),
  WL_ARRAY (WlPermitAsk, excluded, n_excluded, endpoint_key_fields),
  WL_END,
};

const WlField wl_permit_answer_fields[] = {
  WL_U64 (WlPermitAnswer, id),
  WL_U64 (WlPermitAnswer, endpoint),
  WL_U64 (WlPermitAnswer, retry_after_us),
  WL_U64 (WlPermitAnswer, waited_us),
  WL_END,
};

const WlField wl_permit_return_fields[] = {
  WL_U64 (WlPermitReturn, service),
  WL_U64 (WlPermitReturn, customer),
  WL_U64 (WlPermitReturn, endpoint),
  WL_U64 (WlPermitReturn, id),
  WL_END,
};

const WlField wl_membership_report_fields[] = {
  WL_STRUCT (WlMembershipReport, sender, wl_node_status_fields),
  WL_U8 (WlMembershipReport, scope),
  WL_U8 (WlMembershipReport, is_full),
  WL_U64 (WlMembershipReport, node_digest),
  WL_U64 (WlMembershipReport, endpoint_digest),
  WL_ARRAY (WlMembershipReport, nodes, n_nodes, wl_node_status_fields),
  WL_ARRAY (WlMembershipReport, removed_nodes, n_removed_nodes, node_id_fields),
  WL_ARRAY (WlMembershipReport, endpoints, n_endpoints, endpoint_record_fields),
  WL_ARRAY (WlMembershipReport, removed_endpoints, n_removed_endpoints, endpoint_key_fields),
  WL_U32 (WlMembershipReport, n_alive),
  WL_END,
};

const WlField wl_config_pull_fields[] = {
  WL_U64 (WlConfigPull, number),
  WL_END,
};

const WlField wl_config_push_fields[] = {
  WL_U64 (WlConfigPush, number),
  WL_STRUCT (WlConfigPush, change, wl_config_change_fields),
  WL_END,
};
