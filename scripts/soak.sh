#!/bin/bash
# Runs nodes as processes, stops, replaces and restarts them under load, and judges the answers.
# Usage: scripts/soak.sh [--seed N] [--seconds S] [--nodes N] and further options, see docs/soak.md.
# DAEMON: the program under test; SOAK: wl-soak; KEEP=1 keeps the folder of the run.
# Exit: 0 no promise broken, 1 broken, 2 not run.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BUILD=${BUILD:-$ROOT/build}
DAEMON=${DAEMON:-$BUILD/bin/wisterialoftd}
SOAK=${SOAK:-$BUILD/bin/wl-soak}
KEEP=${KEEP:-0}
NET=127.$((1 + ($$ >> 8) % 254)).$(($$ & 255))
nodes=3 seed=1 disks=3 zones=1 tolerated=1 slack=112 drain_ms=2000 start_spread=0
memory_mb='' files='' log_reader=file late_seed='' seeds_differ=0 more_bounds=''
arguments=()
while [ $# -gt 0 ]; do
  case $1 in
    --grown)
      disks=6 zones=3 tolerated=2 slack=226 drain_ms=2500 start_spread=300
      more_bounds='
  stable_window_ms: 4000
  ack_ms: 5000
  catch_up_s: 6
  config_apply_ms: 2500
  skew_max_ms: 6000
  recover_s: 15'
      arguments+=(--disks 6 --zones 3 --slack 226)
      shift
      continue
      ;;
    --seeds-differ) seeds_differ=1 && shift && continue ;;
    --memory-mb) memory_mb=$2 && shift 2 && continue ;;
    --files) files=$2 && shift 2 && continue ;;
    --log-reader) log_reader=$2 && shift 2 && continue ;;
    --late-seed) late_seed=$2 && shift 2 && continue ;;
    --tolerated) tolerated=$2 && shift 2 && continue ;;
    --start-spread) start_spread=$2 && shift 2 && continue ;;
    --nodes) nodes=$2 ;;
    --seed) seed=$2 ;;
    --disks) disks=$2 ;;
    --zones) zones=$2 ;;
    --slack) slack=$2 ;;
  esac
  arguments+=("$1")
  shift
done
folder=$(mktemp -d "${TMPDIR:-/tmp}/wl-soak-$seed-XXXXXX") || exit 2
if [ "$log_reader" = none ]; then
  mkfifo "$folder/unread" && exec 9<>"$folder/unread" || exit 2
fi

# The settings' list of the nodes $@.
list_seeds () {
  local n list=
  for n in "$@"; do list="$list, \"$NET.$((n + 1)):8229\""; done
  echo "[${list#, }]"
}

write_settings () { # NODE HAS_DISK BOOTSTRAP SEEDS
  local ip=$NET.$(($1 + 1)) letters=(a b c)
  cat >"$folder/node-$1.yaml" <<YAML
node_name: "node-$1"
serves: ["front", "control", "directory"]
ip: "$ip"
zone: "zone-${letters[$(($1 % zones))]}"
region: "region"
listen:
  front: "$ip:8227"
  ready: "$ip:8220"
  control: "$ip:8229"
  directory: "$ip:8224"
internal_ports:
  - 7340
  - 7355
seeds: $4
bootstrap: $3
fault_tolerance:
  machines: $tolerated
bounds:
  drain_ms: $drain_ms
  grace_s: 8
  loss_slack_ms: 200
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: $slack$more_bounds
YAML
  if [ "$2" -eq 1 ]; then
    mkdir "$folder/data-$1"
    echo "data_dir: \"$folder/data-$1\"" >>"$folder/node-$1.yaml"
  fi
}

# Becomes the program, under the limits of the run.
run_node () {
  [ -n "$memory_mb" ] && ulimit -v $((memory_mb * 1024))
  [ -n "$files" ] && ulimit -n "$files"
  [ "$log_reader" = none ] && exec "$DAEMON" >&9 2>&1 9>&-
  exec "$DAEMON" 2>&1
}

# Starts node $1 after $2 ms, and again after each exit, until the file "ending" or its own
# "gone" is there; a file "wipe" empties its disk.
supervise () {
  local pid status
  RANDOM=$((seed * 31 + $1))
  sleep "$(($2 / 1000)).$(printf '%03d' $(($2 % 1000)))"
  while [ ! -e "$folder/ending" ] && [ ! -e "$folder/node-$1.gone" ]; do
    WISTERIALOFT_BOOT=$folder/node-$1.yaml run_node >>"$folder/node-$1.log" &
    pid=$!
    echo "$pid" >"$folder/node-$1.new" && mv "$folder/node-$1.new" "$folder/node-$1.pid"
    [ -e "$folder/ending" ] && kill -KILL "$pid" # finish may have looked before it was there
    wait "$pid"
    status=$?
    echo "$pid $status" >>"$folder/node-$1.exits"
    rm "$folder/node-$1.pid"
    sed -i 's/^bootstrap: true/bootstrap: false/' "$folder/node-$1.yaml"
    [ "$seeds_differ" -eq 1 ] && rewrite_seeds "$1" \
      "$(list_seeds $(($1 % disks)) $((($1 + 1) % disks)) $((($1 + 2) % disks)))"
    [ -e "$folder/node-$1.wipe" ] && rm -rf "$folder/node-$1.wipe" "$folder/data-$1" \
      && mkdir "$folder/data-$1"
    sleep "$(printf '%d.%03d' $((RANDOM % 6)) $((200 + RANDOM % 800)))"
  done
}

rewrite_seeds () { # NODE SEEDS
  sed -i "s/^seeds:.*/seeds: $2/" "$folder/node-$1.yaml"
}

# Does what wl-soak asks for: "start NODE HAS_DISK SEED..." and "seeds SEED...", the latter for all.
obey () {
  local verb rest n
  while read -r verb rest; do
    # shellcheck disable=SC2086 # words of the command
    set -- $rest
    case $verb in
      start)
        write_settings "$1" "$2" false "$(list_seeds "${@:3}")"
        supervise "$1" 0 2>/dev/null &
        ;;
      seeds)
        for n in "$folder"/node-*.yaml; do
          n=${n##*/node-}
          rewrite_seeds "${n%.yaml}" "$(list_seeds "$@")"
        done
        ;;
    esac
  done
}

# Ends every process that this run started, by its process id.
finish () {
  local file pid
  trap '' INT TERM
  [ -n "${soak:-}" ] && kill -TERM "$soak" 2>/dev/null
  touch "$folder/ending"
  for file in "$folder"/node-*.pid; do
    pid=$(cat "$file" 2>/dev/null) && kill -KILL "$pid" 2>/dev/null
  done
  wait
}

trap 'finish; exit 2' INT TERM
first=()
for ((n = 0; n < 3 && n < nodes && n < disks; n++)); do first+=("$n"); done
RANDOM=$seed
for ((n = 0; n < nodes; n++)); do
  write_settings "$n" $((n < disks)) true "$(list_seeds "${first[@]}")"
  : >"$folder/node-$n.log"
done
for ((n = 0; n < nodes; n++)); do
  delay_ms=$((start_spread > 0 ? RANDOM % start_spread : 0))
  [ "$n" = "${late_seed%%:*}" ] && delay_ms=$((${late_seed#*:} * 1000))
  [ "$n" = "${late_seed%%:*}" ] && [ "$delay_ms" -eq 0 ] && continue
  supervise "$n" "$delay_ms" 2>/dev/null &
done
mkfifo "$folder/commands" || exit 2
"$SOAK" --net "$NET" --folder "$folder" "${arguments[@]}" > >(tee "$folder/soak.log") 3>"$folder/commands" &
soak=$!
obey <"$folder/commands"
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
