#!/usr/bin/env bash
# Shows that the tests can fail: each mutant of the code breaks one rule, and one named test program
# must find it out. Prints one line a mutant. mutants.sh [NAME]: only that one.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files --cached --others --exclude-standard | tar -cf - -T - | (mkdir "$work/base" && tar -xf - -C "$work/base")

# mutant NAME TEST FILE PERL-EXPRESSION
mutant () {
  local name=$1 test=$2 file=$3 expression=$4
  local dir="$work/$name"
  cp -a "$work/base" "$dir"
  perl -0pi -e "$expression" "$dir/$file"
  if cmp -s "$dir/$file" "$work/base/$file"; then echo "  NOT APPLIED  $name"; return; fi
  rm -rf "$dir/build" # its cache names the other folder
  cmake -S "$dir" -B "$dir/build" -DCMAKE_BUILD_TYPE=Release -DWL_STRICT=OFF >/dev/null # a mutant may leave a function unused
  if ! cmake --build "$dir/build" -j 2 --target "$test" >"$dir/build.out" 2>&1; then
    echo "  NOT BUILT    $name"; tail -3 "$dir/build.out"; return
  fi
  if (cd "$dir/build" && CK_DEFAULT_TIMEOUT=100 timeout 120 "bin/$test" >"$dir/test.out" 2>&1); then
    echo "  MISSED       $name ($test)"
  else
    echo "  found out    $name ($test): $(grep -oE ':0: .*' "$dir/test.out" | head -1 | cut -c5-80)"
    touch "$work/found-$name"
  fi
  rm -rf "$dir"
}

total=0
only=${1:-}
start () {
  [ -n "$only" ] && [ "$only" != "$1" ] && return
  total=$((total + 1))
  while [ "$(jobs -rp | wc -l)" -ge "${MUTANT_JOBS:-3}" ]; do wait -n; done
  mutant "$@" &
}

start identity-ignored test_raft core/agreement/wl_raft_log.c 's/(if \(replica->node != node) \|\| incarnation == 0(\)\s*return 0;\s*)return [^;]*;/$1$2return 1;/'
start empty-disk-votes test_raft core/agreement/wl_raft.c 's/raft->incarnation = settings->replica_incarnation;/raft->incarnation = 1;/; s/if \(wl_raft_is_empty \(raft\) && !is_self_voter \(raft\)\)\n    return;/if (0)\n    return;/'
start seed-founds-alone test_founding core/agreement/wl_raft.c 's/if \(votes <= raft->n_voters \/ 2\)/if (votes < 1)/'
start founding-waits-for-all test_founding core/agreement/wl_raft.c 's/now_us < raft->founding_us;/1;/'
start places-not-given-back test_config_store core/agreement/wl_raft_group.c 's/return oldest;/return NULL;/'
start lease-bound-ignored test_control core/agreement/wl_assign.c 's/return now_us >= wl_control_lease_bound \(control, cell->owner\);/return 1;/'
start answer-while-assigning test_control core/agreement/wl_control.c 's/if \(control->assign_index > control->raft\.applied\)\n    return;/if (0)\n    return;/'
start paused-owner-acts test_control core/wl_core.c 's/if \(!wl_core_has_lease \(core, event->now_us\)\)\n    close_cells \(core, 1, effects\);//'
start leave-notice-unconfirmed test_stop core/wl_core.c 's/if \(!core->session\.has_left && !is_late\)/if (!core->session.leaving \&\& !is_late)/'
start grants-left-behind test_stop core/requests/wl_links.c 's/n \+= l->n_updates;/n += 0;/'
start responses-dropped-at-exit test_node_stop daemon/wl_node.c 's/if \(n_open > 0 && /if (0 \&\& /'
start old-configuration-applied test_control core/requests/wl_session.c 's/return 1; \/\* an outdated reply: configuration numbers only increase \*\//session->config_number = r->config_number;/'
start admission-without-lease test_control core/requests/wl_session.c 's/return session->services != NULL && now_us < session->lease_until_us;/return session->services != NULL;/'
start digest-not-compared test_control core/agreement/wl_control_requests.c 's/int same = memcmp \(a->digest, digest, WL_DIGEST_SIZE\) == 0;/int same = 1;/'
start claim-granted-twice test_claims core/agreement/wl_claims.c 's/if \(node != NULL && node->record\.status != WL_CLAIM_NOT_RUN\)\n    return WL_APPLIED_CONFLICT;//'
start dispatch-without-claim test_claims core/requests/wl_entry.c 's/if \(r->is_idempotent\)\n    wl_entry_begin_placing/if (1)\n    wl_entry_begin_placing/'
start unknown-released test_claims core/requests/wl_outbox.c 's/return request->may_have_run \? WL_CLAIM_UNKNOWN : WL_CLAIM_NOT_RUN;/return WL_CLAIM_NOT_RUN;/'
start repeated-output-delivered test_entry core/requests/wl_entry.c 's/if \(output->offset \+ output->tokens <= r->delivered\)/if (0)/; s/if \(output->offset != r->delivered\)/if (0)/'
start cut-stream-called-whole test_entry core/requests/wl_entry.c 's/if \(end->total_tokens == r->delivered\)/if (1)/; s/r->may_have_run = 1;\n      handle_failed_attempt \(entry, r, WL_ATTEMPT_FAILED, end, ctx\);/finish_done (entry, r, end, ctx);/'
start no-time-limit test_entry core/requests/wl_entry.c 's/if \(ctx->now_us >= r->deadline_us\)/if (0)/'
start no-time-left-admitted test_entry core/requests/wl_entry.c 's/e->has_time_limit && e->time_limit_us == 0/0/'
start no-cancel test_entry core/placement/wl_cell.c 's/(cancel_attempt \(const WlCell[^\{]*\{)/$1 return;/'
start leaving-endpoint-used test_cell core/placement/wl_placement.c 's/ && !endpoint->leaving//'
start memory-not-reserved test_cell core/placement/wl_accounts.c 's/e->kv_reserved \+= g->allocations\[i\].kv_tokens;//'
start no-reservation test_cell core/placement/wl_placement.c 's/if \(r->request == 0 \|\| !is_in_reservation \(r, e\)\)\n    return 1;/return 1;/'
start weights-ignored test_cell core/placement/wl_queue.c 's/w->cost_us \/ w->customer->weight/w->cost_us/'
start prefix-age-ignored test_prefix_saving core/placement/wl_prefix_saving.c 's/ppm = ppm \* freshness_ppm[^;]*;/(void)freshness_ppm;/'
start prefix-memory-ignored test_prefix_saving core/placement/wl_prefix_saving.c 's/ppm = ppm \* room_ppm \(room->kv_used[^;]*;//'
start prefix-slots-ignored test_prefix_saving core/placement/wl_prefix_saving.c 's/ppm = ppm \* room_ppm \(room->slots_used[^;]*;//'
start prefix-weighed-unreported test_prefix_saving core/placement/wl_placement.c 's/cell->weighs_prefixes \? &room : NULL/cell != NULL ? &room : NULL/'
start prefix-never-learnt test_prefix_saving core/placement/wl_cell.c 's/wl_prefix_hints_learn \(&e->prefixes, g->likely_tokens, cached\);//'
start unsynced-log test_storage runtime/wl_storage.c 's/error = s->disk->sync \(s->disk, name\);/error = WL_OK;/'
start failed-sync-repeated test_storage runtime/wl_storage.c 's/s->is_lost = error != WL_OK;//'
start replaced-segment-read test_storage runtime/wl_storage_read.c 's/s->segments\[s->n_segments - 1\]/s->segments[0]/'
start half-head-complete test_http runtime/wl_http_client.c 's/ && call->has_head//'
start cut-stream-forwarded-whole test_relay_cut relay/forwarding/wl_relay_answer.c 's/if \(is_stream_cut \(r\)\)/if (0 \&\& is_stream_cut (r))/'
start full-disk-gives-up test_journal runtime/wl_journal.c 's/usleep \(WL_JOURNAL_RETRY_US\);/return 0;/'
start unsynced-rename test_storage runtime/wl_disk.c 's/if \(error == WL_OK\)\n    error = disk->sync \(disk, temporary\);//'
start acknowledged-before-commit test_config_store core/agreement/wl_config_store.c 's/(\|\| r->version > document->version)\)/$1 \&\& cs->proposed_index == 0)/'
start version-0-means-none test_config_store core/agreement/wl_config_store.c 's/!wl_config_document_has_config \(document\) \|\| //'
start lowest-version-first test_config_store core/agreement/wl_config_store.c 's/cs->queue\[i\]\.version > cs->queue\[highest\]\.version/cs->queue[i].version < cs->queue[highest].version/'
start submissions-without-bound test_config_store core/agreement/wl_config_store.c 's/bytes \+ s->config\.size > WL_CONFIG_STORE_QUEUE_BYTES \|\|/0 ||/'
start changes-without-bound test_recent_changes core/base/wl_recent_changes.c 's/while \(recent->bytes > WL_RECENT_CHANGES_BYTES\)/while (0)/'
start deltas-not-compressed test_host_config core/base/wl_delta.c 's/if \(bytes->size <= WL_DELTA_UNCOMPRESSED_BYTES\)/if (1)/'
start whole-text-for-missed-changes test_host_config relay/wl_host_config.c 's/has_number > 0\s+&& wl_recent_changes_cover \(&host->recent_changes, has_number, host->config_number\)/0/'
start bodies-without-bound test_web relay/transport/wl_web.c 's/web->body_bytes \+ bytes\.size > web->options\.bodies_max/0/'
start response-forgotten-unsent test_tcp relay/transport/wl_tcp.c 's/size_t left = wl_tcp_undelivered \(tcp\);/size_t left = 0;/'
start waiting-callers-reset test_tcp relay/transport/wl_tcp.c 's/i <= BACKLOG \/ ACCEPTS_MAX/i < 1/'
start response-dropped-at-half-close test_web relay/transport/wl_web.c 's/if \(end == WL_TCP_END_CLOSED\)/if (0)/'
start close-not-announced test_web relay/transport/wl_web.c 's/if \(c->is_closing\)\n    \{\n      finish/if (c->is_closing || c->web->is_draining)\n    {\n      finish/'
start read-without-quorum test_config_store core/agreement/wl_config_store.c 's/if \(r->round > wl_raft_confirmed_round \(&cs->raft\)\)/if (0)/'
start lower-version-proposed test_config_store core/agreement/wl_config_store.c 's/\|\| r->version > document->version\)/|| r->version != document->version)/'
start no-replacement test_config_store core/agreement/wl_raft_group.c 's/\|\| \(raft->n_voters == raft->max_voters && unresponsive != NULL\)/|| 0/'
start work-not-told-to-new-nodes test_host_gossip relay/wl_host_gossip.c 's/      send_full_report \(host, s->node\);\n//'
start named-nodes-met-later test_host_gossip relay/membership/wl_membership.c 's/  if \(membership->roster->n_nodes > n_before && wl_view_is_mesh[^;]*;//'
start saved-text-before-neighbours test_host relay/wl_host_config.c 's/ \|\| now_us < host->started_us \+ SAVED_CONFIG_DELAY_US//'
start unstored-configuration-used test_host relay/wl_host_config.c 's/\s*&& wl_journal_n_released \(host->journal\) >= host->unstored_until_batch//'
start any-call-on-any-port test_platform_path platform/wl_platform_api.c 's/\s*\|\| !\(server->purposes & call->purpose\)//'
start repeats-after-break test_relay_retry relay/forwarding/wl_relay.c 's/if \(r->may_have_run\)\n        return 0;\n      break;\n    case WL_ROUTE_STREAM/break;\n    case WL_ROUTE_STREAM/; s/if \(r->attempts >= r->route->attempts \|\| now_us >= r->limit_us\)\n    return 0;//'
start half-events-passed test_event_stream relay/transport/wl_event_stream.c 's/return \(WlBytes\)\{ all.data, complete \};/return all;/'
start error-joined-to-stream test_relay_retry relay/forwarding/wl_relay_answer.c 's/if \(r->is_resumed && !r->forwards_events\)/if (0)/'
start resumed-stream-not-compared test_event_stream relay/transport/wl_event_stream.c 's/ && !follows_last_id \(stream, id\)/ \&\& 0/'
start unsealed-success-passed test_relay relay/forwarding/wl_relay_answer.c 's/if \(!r->response.is_sealed\)\n    \{/if (0)\n    {/'
start resend-on-reused-connection test_fetch relay/transport/wl_fetch.c 's/c->is_reused \|\| wl_tcp_has_sent \(c->tcp\) \? WL_FETCH_BROKEN : WL_FETCH_NOT_SENT/WL_FETCH_NOT_SENT/'
start early-close-taken-for-the-end test_relay_invalid relay/transport/wl_fetch.c 's/ && !is_sending \(c\)//'
start connection-of-an-upload-reused test_relay_invalid relay/transport/wl_fetch.c 's/\n\s*\|\| is_sending \(c\)\)/)/'
start not-read-while-sending test_relay_invalid relay/transport/wl_tcp.c 's/tcp->wants_write = wants_write;\n  update_watch \(tcp\);/if (tcp->wants_write != wants_write) {\n    tcp->wants_write = wants_write;\n    update_watch (tcp); }/'
start interim-without-end test_relay_invalid relay/transport/wl_http_reader.c 's/ <= WL_HTTP_INTERIMS_MAX/ > 0/'
start home-regions-ignored test_relay_homes relay/placement/wl_choice.c 's/\n\s*\|\| !wl_homes_allow \(q->homes, e->record.domain\)\)/)/'
start home-regions-of-customer-ignored test_relay_homes relay/forwarding/wl_relay_homes.c 's/r->customer != NULL \? &r->customer->homes : NULL/NULL/'
start nodes-elsewhere-listed test_platform_path relay/wl_host.c 's/\n\s*\|\| !may_list \(host, lookup, node->status.domain\)\)/)/'
start permit-elsewhere-asked test_relay_homes relay/forwarding/wl_relay_limits.c 's/  exclude_elsewhere \(r, excluded, &ask.n_excluded\);\n//'
start late-answer-taken test_fetch relay/transport/wl_fetch.c 's/c->is_skipping = verdict == WL_FETCH_SKIP;//'
start unidentified-answer-taken test_relay_retry relay/forwarding/wl_relay_answer.c 's/wl_fetch_is_first_response \(r->fetch\) \? WL_FETCH_TAKE : WL_FETCH_ABORT/WL_FETCH_TAKE/'
start repeat-on-kept-connection test_relay_retry relay/forwarding/wl_relay_answer.c 's/\n\s*\|\| r->attempts > 0;/;/; s/ \|\| r->attempts > 0;/;/'
start odd-record-applied test_fleet relay/membership/wl_fleet.c 's/if \(!wl_fleet_is_valid \(record\)\)\n    return -1;//'
start leaving-comes-back test_fleet relay/membership/wl_fleet.c 's/e->record.is_draining \|= was_draining;//'
start lost-node-keeps-work test_load relay/placement/wl_load.c 's/queue->items\[i\].node == node && queue->items\[i\].boot != kept_boot/0/'
start no-release-after-silence test_reservation relay/forwarding/wl_reservation.c 's/if \(r->unanswered_us != 0\)\n    return now_us > r->unanswered_us \+ WL_RESERVATION_MAX_DELAY_US;//'
start deadline-not-judged test_choice relay/placement/wl_choice_judge.c 's/out->predicted_us >= q->deadline_us\s*\|\|/0 ||/'
start no-waiting-for-slots test_choice relay/placement/wl_choice.c 's/\n\s*&& value_of_waiting \(q, all, n_all\)[^;]*?\)\)\n/ && 0)\n/'
start torn-log-lines test_log_sink runtime/wl_log_sink.c 's/return end != NULL \? .*?;\n/return n;\n/'
start unbounded-log test_log_sink runtime/wl_log_sink.c 's/b->tokens_us -= SECOND_US;//'
start opening-packet-waited-for test_peers runtime/wl_peers.c 's/c->is_connecting \? WL_PEER_CONNECT_US : //'
start failed-disk-leads test_host relay/wl_host.c 's/host->config_store != NULL && !host->has_failed;/host->config_store != NULL;/'
start failed-disk-cuts test_host relay/wl_host.c 's/wl_host_may_exit \(const WlHost \*host\)\n\{/$&\n  if (host->has_failed)\n    return 1;/'
start endpoints-not-restored test_host relay/wl_host_files.c 's/  load_file \(host, disk, endpoints_file, restore_endpoints\);//'
start restored-not-reported test_fleet_start relay/membership/wl_membership.c 's/(records\[i\], now_us\);\n)      wl_view_note_registration[^;]*;/$1/'
start file-overrides test_fleet_start relay/membership/wl_fleet.c 's/if \(record->is_restored && !e->record.is_restored\)\n    return 1;//'
start file-revives-silent test_fleet_start relay/membership/wl_membership.c 's/copy.age_us = WL_FLEET_TIMEOUT_US;/;/'
start relay-revives-silent test_fleet_start relay/membership/wl_view_report.c 's/return age_us > WL_FLEET_OVERDUE_US \? age_us : WL_FLEET_OVERDUE_US;/return WL_FLEET_OVERDUE_US;/'
start load-not-asked-for test_host_start relay/wl_host_start.c 's/  ask_for_load \(host, now_us\);//'
start culprit-ignored test_relay_retry relay/forwarding/wl_relay_retry.c 's/if \(r->response.fault_port != 0\)/if (0)/'
start memory-held-for-the-dead test_relay_retry relay/forwarding/wl_relay.c 's/wl_relay_abandon_attempt \(r, now_us\);/;/'
start released-before-sync test_journal runtime/wl_journal.c 's/return keep_trying \(journal, NULL\);/return 1;/; s/if \(!b->stores\)/if (1)/'
start idle-beside-files test_journal runtime/wl_journal.c 's/int is_saving = [^;]*;/int is_saving = 0;/'
start small-fleet-for-ever test_membership relay/membership/wl_view.c 's/return !view->is_large && /return /'
start silent-relay-vouches-on test_view relay/membership/wl_view_apply.c 's/if \(!wl_view_is_fresh \(s, now_us\) && !report->is_full\)/if (0)/'
start one-relay-evicts test_membership relay/membership/wl_view_apply.c 's/if \(\(r->attested_by & \(uint64_t\)1 << i\) != 0 && /if (0 \&\& /'
start older-start-wins test_membership relay/membership/wl_view_apply.c 's/ && evidence_us <= r->evidence_us\)/ \&\& 0)/'
start notes-out-of-order test_load_report_batch relay/placement/wl_load_report_batch.c 's/last->node == node && last->boot == report->boot && //'
start waits-until-the-exit test_relay_stop relay/forwarding/wl_relay_stop.c 's/return now_us >= stop->moved_us \|\| /return /'
start sent-before-the-exit test_relay_stop relay/forwarding/wl_relay_stop.c 's/ && r->limit_us > close_us;/ \&\& 0;/'
start failed-for-the-exit test_relay_stop relay/forwarding/wl_relay_stop.c 's/ && !r->may_have_run;/;/'
start sent-with-late-memory test_relay_stop relay/forwarding/wl_relay_answer.c 's/if \(wl_relay_may_outlast_node \(r\)\)/if (0)/'
start sent-after-its-limit test_relay_stop relay/forwarding/wl_relay_answer.c 's/ && now_us < r->limit_us\)/)/'
start dropped-at-the-exit test_relay_stop relay/forwarding/wl_relay_stop.c 's/while \(relay->requests != NULL\)\n    end_request/if (0)\n    end_request/'
start partial-request-forgotten test_host_stop relay/transport/wl_web.c 's/else if \(with_partial && /else if (0 \&\& /'
start quarantine-not-checked test_relay_quarantine relay/forwarding/wl_relay.c 's/if \(wl_relay_refuse_quarantined \(r, now_us\) \|\| /if (/'
start quarantine-not-applied-to-sent test_relay_quarantine relay/forwarding/wl_relay_quarantine.c 's/if \(generation == relay->quarantine_generation\)/if (1)/'
start unmarked-end-is-sound test_relay_trial relay/forwarding/wl_relay_evidence.c 's/if \(r->has_marked_end\)/if (1)/'
start ends-not-told test_host_parts relay/wl_host.c 's/  wl_host_flush_parts \(host, now_us\);\n//'
start shared-part-quarantined test_quarantine relay/forwarding/wl_quarantine_verdict.c 's/\s*&& wl_quarantine_commonality \(quarantine, v.part, now_us\) == WL_COMMON_TO_NONE//'
start sound-part-quarantined test_quarantine relay/forwarding/wl_quarantine_evidence.c 's/return record != NULL && at_us < [^;]*;/return 0;/'
start ends-at-once-counted test_quarantine relay/forwarding/wl_quarantine_verdict.c 's/if \(n_counted > 0 && end->at_us < [^\n]*\n    return 0;//'
start few-of-many-ends-counted test_quarantine relay/forwarding/wl_quarantine_verdict.c 's/v->n_ends >= WL_QUARANTINE_ENDPOINTS_SURE && SURE_SHARE \* v->n_ends >= count_times \(ev, v, 0\)/1/'
start five-of-any-number-counted test_quarantine relay/forwarding/wl_quarantine_verdict.c 's/ && SURE_SHARE \* v->n_ends >= count_times \(ev, v, 0\)//'
start other-customers-refused test_quarantine relay/forwarding/wl_quarantine_verdict.c 's/.customer = single_customer \(&strongest\)/.customer = 0/'
start released-part-comes-back test_quarantine_trials relay/forwarding/wl_quarantine_report.c 's/if \(is_older\)/if (0)/'
start trial-repeated test_quarantine_trials relay/forwarding/wl_quarantine_report.c 's/\.trial_after_us = age_us \+ min_u64 [^\n]*\n/.trial_after_us = age_us,\n/'
start parts-not-saved test_host_parts_restart relay/wl_host_files.c 's/wl_journal_save \(host->journal, parts_file, [^;]*;/;/'
start parts-saved-once test_host_parts_restart relay/wl_host_files.c 's/ \|\| wl_quarantine_n_entries \(q\) > 0//'
start restored-ends-not-told test_host_parts_restart relay/wl_host_parts.c 's/wl_quarantine_join_report \(q,/wl_quarantine_full_report (q,/'
start restart-puts-trial-off test_quarantine_restore relay/forwarding/wl_quarantine_report.c 's/part\.trial_us = before \(part\.trial_us, unsaved_us\);//'
start restored-part-comes-back test_quarantine_restore relay/forwarding/wl_quarantine_report.c 's/known == NULL && entry\.is_restored/0/'
start restored-end-counts-by-time test_quarantine_restore relay/forwarding/wl_quarantine_evidence.c 's/if \(quarantine->ends\[i\]\.endpoint == endpoint\)/if (0)/'
start cold-minority-sends test_warmup relay/placement/wl_warmup.c 's/return 2 \* n_alive > quorum_base \(warmup\);/return 1;/'
start cold-no-hold-after-freeze test_warmup relay/placement/wl_warmup.c 's/if \(now_us > warmup->ticked_us \+ WL_WARMUP_FREEZE_US\)\n    wl_warmup_hold \(warmup, now_us\);//'
start cold-token-not-taken test_relay_cold relay/forwarding/wl_relay_cold.c 's/  wl_warmup_take \(r->relay->warmup, r->service, e, now_us\);\n//'
start cold-helper-sent test_relay_cold relay/forwarding/wl_relay_cold.c 's/if \(has_cold_helper \(r, now_us\)\)\n    return 0;//'
start cold-helper-chosen test_choice relay/placement/wl_choice_judge.c 's/ \|\| all\[i\]\.is_cold//'
start cold-copies-prolong test_fleet relay/membership/wl_fleet.c 's/\(e->says_cold && until_us >= e->cold_until_us\)/0/'
start cold-not-reported test_view relay/membership/wl_view_report.c 's/if \(e->became_cold\)/if (0)/'
start limit-order-ignored test_limits relay/placement/wl_limits.c 's/if \(!is_later && !may_lower \(known, word\)\)/if (0)/'
start ended-limit-comes-back test_limits relay/placement/wl_limits.c 's/if \(word->heard_us <= known->sent_us\)\n    return 0;//'
start limit-words-repeated test_limits relay/placement/wl_limits.c 's/  if \(e->limit.heard_us <= e->told_us \+ RENEWAL_US\)\n    set_news \(limits, e, 0\);\n//'
start issuer-without-quiet-time test_issuer relay/placement/wl_issuer.c 's/service, now_us \+ WL_ISSUER_QUIET_US\)/service, now_us)/'
start issuer-does-not-notice-its-freeze test_issuer relay/placement/wl_issuer.c 's/now_us > issuer->called_us \+ PAUSE_US/0/'
start bucket-without-bottom test_issuer relay/placement/wl_buckets.c 's/CAPACITY_US = 500000,/CAPACITY_US = 5000000,/'
start returned-token-counts-whole test_issuer relay/placement/wl_buckets.c 's/b->level \+= TOKEN - refilled;/b->level += TOKEN;/; s/refilled < TOKEN && //'
start customers-in-order-of-arrival test_issuer relay/placement/wl_issuer.c 's/best == issuer->n_queue \|\| w->customer->share < issuer->queue\[best\]\.customer->share/best == issuer->n_queue/'
start permit-lifetime-ignored test_permits relay/placement/wl_permits.c 's/ask->state == ASK_GRANTED && now_us >= ask->valid_until_us/0/'
start evacuated-domain-usable test_relay_evacuation relay/membership/wl_fleet.c 's/return !endpoint->is_evacuated && /return /'
start evacuated-after-choice-sent test_relay_evacuation relay/forwarding/wl_relay_admission.c 's/if \(evacuated != NULL\)/if (0)/'
start evacuated-helper-used test_relay_evacuation relay/forwarding/wl_relay_admission.c 's/i <= r->n_helpers/i <= 0/'
start late-endpoint-not-evacuated test_fleet relay/membership/wl_fleet.c 's/e->is_evacuated = \(uint8_t\)is_evacuated \(fleet, record->domain\);//'
start overtaken-start-applied test_evacuation core/agreement/wl_config_store.c 's/e\.sequence == r->sequence && e\.is_active == r->is_finish/e.is_active == r->is_finish/'
start configuration-drops-evacuations test_evacuation core/agreement/wl_config_store.c 's/document->version = r->version;/document->version = r->version; document->n_evacuations = 0;/'
start evacuated-engine-granted test_evacuation_group core/placement/wl_placement.c 's/ && !wl_placement_is_evacuated \(cell, endpoint\);/;/'
start late-change-applied test_evacuation_group core/agreement/wl_state.c 's/if \(change->sequence != current.sequence\)/if (0)/'
start late-reply-settles-next-step test_host_evacuation relay/wl_host_config.c 's/(r->kind = kind;\n)\s*r->id = [^\n]*\n/$1/'
wait
found=$(find "$work" -maxdepth 1 -name 'found-*' | wc -l)
echo "$found passed, $((total - found)) failed"
[ "$found" = "$total" ]
