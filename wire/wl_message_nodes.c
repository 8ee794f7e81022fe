#include "wl_message_nodes.h"

static const WlField node_id_fields[] = {
  WL_U32 (WlNodeId, node),
  WL_END,
};

const WlField wl_node_status_fields[] = {
  WL_U32 (WlNodeStatus, node),
  WL_U64 (WlNodeStatus, boot),
  WL_U64 (WlNodeStatus, sequence),
  WL_TEXT (WlNodeStatus, zone),
  WL_U32 (WlNodeStatus, front_port),
  WL_U8 (WlNodeStatus, has_disk),
  WL_U8 (WlNodeStatus, is_ready),
  WL_U8 (WlNodeStatus, is_draining),
  WL_U64 (WlNodeStatus, config_number),
  WL_U32 (WlNodeStatus, leader),
  WL_ARRAY (WlNodeStatus, known, n_known, node_id_fields),
  WL_U8 (WlNodeStatus, subscription),
  WL_U64 (WlNodeStatus, age_us),
  WL_END,
};

static const WlField endpoint_record_fields[] = {
  WL_TEXT (WlEndpointRecord, id),     WL_TEXT (WlEndpointRecord, service),
  WL_TEXT (WlEndpointRecord, zone),   WL_U32 (WlEndpointRecord, address),
  WL_U32 (WlEndpointRecord, port),    WL_U32 (WlEndpointRecord, slots),
  WL_U64 (WlEndpointRecord, born_ms), WL_U64 (WlEndpointRecord, sequence),
  WL_U64 (WlEndpointRecord, age_us),  WL_U8 (WlEndpointRecord, is_draining),
  WL_U8 (WlEndpointRecord, is_gone),  WL_END,
};

const WlField wl_endpoints_fields[] = {
  WL_ARRAY (WlEndpoints, records, n_records, endpoint_record_fields),
  WL_END,
};

static const WlField work_note_fields[] = {
  WL_U64 (WlWorkNote, work),
  WL_U64 (WlWorkNote, endpoint),
  WL_U8 (WlWorkNote, phase),
  WL_U8 (WlWorkNote, is_part),
  WL_U32 (WlWorkNote, memory),
  WL_U32 (WlWorkNote, reads),
  WL_U32 (WlWorkNote, read_us),
  WL_U32 (WlWorkNote, output),
  WL_U32 (WlWorkNote, gap_ms),
  WL_U32 (WlWorkNote, predicted_ms),
  WL_END,
};

const WlField wl_work_fields[] = {
  WL_U64 (WlWork, boot),
  WL_U8 (WlWork, is_whole),
  WL_ARRAY (WlWork, notes, n_notes, work_note_fields),
  WL_U32 (WlWork, node),
  WL_END,
};

const WlField wl_works_fields[] = {
  WL_ARRAY (WlWorks, works, n_works, wl_work_fields),
  WL_END,
};

const WlField wl_suspicion_fields[] = {
  WL_U64 (WlSuspicion, endpoint),
  WL_U64 (WlSuspicion, eject_us),
  WL_END,
};

static const WlField endpoint_key_fields[] = {
  WL_U64 (WlEndpointKey, key),
  WL_END,
};

const WlField wl_report_fields[] = {
  WL_STRUCT (WlReport, sender, wl_node_status_fields),
  WL_U8 (WlReport, scope),
  WL_U8 (WlReport, is_whole),
  WL_U64 (WlReport, node_digest),
  WL_U64 (WlReport, endpoint_digest),
  WL_ARRAY (WlReport, nodes, n_nodes, wl_node_status_fields),
  WL_ARRAY (WlReport, lost_nodes, n_lost_nodes, node_id_fields),
  WL_ARRAY (WlReport, endpoints, n_endpoints, endpoint_record_fields),
  WL_ARRAY (WlReport, lost_endpoints, n_lost_endpoints, endpoint_key_fields),
  WL_U32 (WlReport, n_alive),
  WL_END,
};

const WlField wl_text_pull_fields[] = {
  WL_U64 (WlTextPull, number),
  WL_END,
};

const WlField wl_text_push_fields[] = {
  WL_U64 (WlTextPush, number),
  WL_STRUCT (WlTextPush, change, wl_config_change_fields),
  WL_END,
};
