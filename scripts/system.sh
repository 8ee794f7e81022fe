# Starts and stops one system on loopback for the demo and the experiments.
# Source it after setting BUILD, WORK, EXAMPLE, MODEL_SERVICE, MODEL, PLAIN_SERVICE, DOMAINS.

ENTRY_COUNT=${ENTRY_COUNT:-12}
BASE=${BASE:-21000}           # HTTP of entry n is BASE+n, peers BASE+100+n
EMULATOR_BASE=$((BASE + 200))
WORKERS=${WORKERS:-20}
EMULATOR_FLAGS=${EMULATOR_FLAGS:-}
POLICY=${POLICY:-adaptive}
export WISTERIALOFT_CLUSTER_KEY=cluster-secret WISTERIALOFT_OPERATOR_KEY=operator-secret
export WISTERIALOFT_ENDPOINT_KEY=endpoint-secret
CONTROL=${CONTROL:-"1=127.0.0.1:$((BASE + 101)),2=127.0.0.1:$((BASE + 102)),3=127.0.0.1:$((BASE + 103))"}
declare -A PID

domain_of () { local d=(${DOMAINS//,/ }); echo "${d[$(($1 % ${#d[@]}))]}"; }

start_entry () {
  local n=$1 data=()
  [[ ",$CONTROL" == *",$n="* ]] && data=(--data-folder "$WORK/data-$n")
  "$BUILD/bin/wisterialoftd" --node-id "$n" --address 127.0.0.1 --http-port $((BASE + n)) \
    --peer-port $((BASE + 100 + n)) --domain "$(domain_of "$n")" --control-peers "$CONTROL" \
    --policy "$POLICY" "${data[@]}" >/dev/null 2>>"$WORK/entry-$n.log" &
  PID[$n]=$!
}

entry_list () { local n s=""; for n in $(seq "$ENTRY_COUNT"); do s="$s,127.0.0.1:$((BASE + n))"; done; echo "${s:1}"; }

start_system () {
  local n
  mkdir -p "$WORK"
  for n in $(seq "$ENTRY_COUNT"); do start_entry "$n"; done
  # shellcheck disable=SC2086
  "$BUILD/bin/wl-emulator" --service "$MODEL_SERVICE" --entries "$(entry_list)" \
    --endpoint-key endpoint-secret --domains "$DOMAINS" --port "$EMULATOR_BASE" --count "$WORKERS" \
    --witness "$WORK/engines.log" $EMULATOR_FLAGS 2>"$WORK/emulator.err" &
  PID[engines]=$!
  "$BUILD/bin/wl-emulator" --plain --service "$PLAIN_SERVICE" --entries "$(entry_list)" \
    --endpoint-key endpoint-secret --domains "$DOMAINS" --port $((EMULATOR_BASE + 300)) --count 3 \
    --witness "$WORK/plain.log" 2>"$WORK/plain.err" &
  PID[plain]=$!
}

stop_system () {
  local p
  for p in "${PID[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
}

cli () { "$BUILD/bin/wisterialoft" --server "$(entry_list)" "$@"; }
operator () { cli --key operator-secret "$@"; }

wait_ready () { # waits until every endpoint of both services is ready
  local i ready
  for i in $(seq 200); do
    ready=0
    for n in $(seq "$ENTRY_COUNT"); do
      r=$(curl -s -m 2 -H 'Authorization: Bearer operator-secret' "http://127.0.0.1:$((BASE + n))/v1/status" | grep -o '"state":"ready"' | wc -l)
      ready=$((ready + r))
    done
    [ "$ready" -ge $((WORKERS + 3)) ] && return 0
    sleep 0.2
  done
  echo "only $ready endpoints are ready" >&2
  return 1
}
