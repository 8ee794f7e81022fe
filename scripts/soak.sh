#!/bin/bash
# Runs nodes as processes, stops and restarts them under load, and judges the answers.
# Usage: scripts/soak.sh [--seed N] [--seconds S] [--nodes N] and further options of wl-soak.
# DAEMON: the program under test; SOAK: wl-soak; KEEP=1 keeps the folder of the run.
# Exit: 0 no promise broken, 1 broken, 2 not run.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
DAEMON=${DAEMON:-$BUILD/bin/wisterialoftd}
SOAK=${SOAK:-$BUILD/bin/wl-soak}
KEEP=${KEEP:-0}
NET=127.$((1 + ($$ >> 8) % 254)).$(($$ & 255))
nodes=3 seed=1
arguments=("$@")
while [ $# -gt 0 ]; do
  case $1 in
    --nodes) nodes=$2 ;;
    --seed) seed=$2 ;;
  esac
  shift
done
folder=$(mktemp -d "${TMPDIR:-/tmp}/wl-soak-$seed-XXXXXX") || exit 2

write_settings () { # NODE
  local ip=$NET.$(($1 + 1)) seeds="" n
  for n in 0 1 2; do [ "$n" -lt "$nodes" ] && seeds="$seeds
  - \"$NET.$((n + 1)):8229\""; done
  cat >"$folder/node-$1.yaml" <<YAML
node_name: "node-$1"
serves: ["front", "control", "directory"]
ip: "$ip"
zone: "zone-a"
region: "region"
listen:
  front: "$ip:8227"
  ready: "$ip:8220"
  control: "$ip:8229"
  directory: "$ip:8224"
internal_ports:
  - 7340
  - 7355
seeds:$seeds
bootstrap: true
fault_tolerance:
  machines: 1
bounds:
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 112
YAML
  if [ "$1" -lt 3 ]; then
    mkdir "$folder/data-$1"
    echo "data_dir: \"$folder/data-$1\"" >>"$folder/node-$1.yaml"
  fi
}

# Starts node $1 and starts it again after each exit, until the file "ending" is there.
supervise () {
  local pid status
  RANDOM=$((seed * 31 + $1))
  while [ ! -e "$folder/ending" ]; do
    WISTERIALOFT_BOOT=$folder/node-$1.yaml "$DAEMON" >>"$folder/node-$1.log" 2>&1 &
    pid=$!
    echo "$pid" >"$folder/node-$1.new" && mv "$folder/node-$1.new" "$folder/node-$1.pid"
    [ -e "$folder/ending" ] && kill -KILL "$pid" # finish may have looked before it was there
    wait "$pid"
    status=$?
    echo "$pid $status" >>"$folder/node-$1.exits"
    rm "$folder/node-$1.pid"
    sed -i 's/^bootstrap: true/bootstrap: false/' "$folder/node-$1.yaml"
    sleep "$(printf '%d.%03d' $((RANDOM % 6)) $((200 + RANDOM % 800)))"
  done
}

# Ends every process that this run started, by its process id.
finish () {
  local n pid
  trap '' INT TERM
  [ -n "${soak:-}" ] && kill -TERM "$soak" 2>/dev/null
  touch "$folder/ending"
  for ((n = 0; n < nodes; n++)); do
    pid=$(cat "$folder/node-$n.pid" 2>/dev/null) && kill -KILL "$pid" 2>/dev/null
  done
  wait
}

trap 'finish; exit 2' INT TERM
for ((n = 0; n < nodes; n++)); do write_settings "$n"; done
for ((n = 0; n < nodes; n++)); do supervise "$n" 2>/dev/null & done
"$SOAK" --net "$NET" --folder "$folder" "${arguments[@]}" > >(tee "$folder/soak.log") &
soak=$!
wait "$soak"
status=$?
soak=
finish
if [ "$status" -eq 0 ] && [ "$KEEP" -eq 0 ]; then
  rm -r "$folder"
else
  # What the nodes logged about the first broken requests, and all that they cut on connections.
  grep -oE '^broken: .* id=[0-9a-f]{16}' "$folder/soak.log" | grep -oE '[0-9a-f]{16}$' | head -20 \
    | while read -r id; do grep -H "request=$id" "$folder"/node-*.log | sed "s#^$folder/##"; done
  grep -H WL1107 "$folder"/node-*.log | sed "s#^$folder/##" | head -20
  echo "logs: $folder"
fi
exit "$status"
