#!/usr/bin/env bash
# Measures the control group on real processes: bench-control.sh [REPLICAS]. Prints a table.
set -u
cd "$(dirname "$0")/.."
REPLICAS=${1:-3}
BUILD=$(cd "${BUILD:-build}" && pwd)
WORK=$(mktemp -d) BASE=${BASE:-25000} WORKERS=4
MODEL_SERVICE=chartis-llm PLAIN_SERVICE=epistrofes-app DOMAINS=attiki-a,attiki-b,attiki-c
EMULATOR_FLAGS="--speed 10 --loaded chartis:1"
CONTROL=""; for n in $(seq "$REPLICAS"); do CONTROL="$CONTROL,$n=127.0.0.1:$((BASE + 100 + n))"; done; CONTROL=${CONTROL:1}
. scripts/system.sh
trap 'stop_system; rm -rf "$WORK"' EXIT
now_ms () { date +%s%3N; }
number=0
put () { # submits the next text; the last digit of a cap makes it differ
  sed "s/max_queued: 200/max_queued: $((200 + number % 97))/" examples/athens.yaml >"$WORK/text.yaml"
  curl -s -m 12 -H 'Authorization: Bearer operator-secret' --data-binary @"$WORK/text.yaml" \
    "http://127.0.0.1:$((BASE + ${1:-12}))/v1/config?replaces=$number" | grep -q accepted && number=$((number + 1))
}
status () { curl -s -m 2 -H 'Authorization: Bearer operator-secret' "http://127.0.0.1:$((BASE + 12))/v1/status"; }
field () { status | grep -o "\"$1\":[0-9]*" | head -1 | cut -d: -f2; }
quantiles () { sort -n | awk '{v[NR]=$1} END {i=int((NR+1)*0.95); if (i>NR) i=NR; printf "p50 %d ms, p95 %d ms, max %d ms (n=%d)", v[int((NR+1)*0.5)], v[i], v[NR], NR}'; }
bytes_of () { curl -s -m 2 "http://127.0.0.1:$((BASE + $1))/metrics" | awk '/^wisterialoft_message_bytes_out_total/ {print $2}'; }
cpu_of () { awk '{print ($14 + $15) * 10}' "/proc/${PID[$1]}/stat"; }
rss_of () { awk '/VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }

start_system
for _ in $(seq 60); do put && break; sleep 0.2; done
wait_ready
echo "replicas: $REPLICAS, entries: $ENTRY_COUNT"
for _ in $(seq "${SUBMISSIONS:-100}"); do t=$(now_ms); put; echo $(($(now_ms) - t)); done >"$WORK/times"; quantiles <"$WORK/times" | sed 's/^/submission, HTTP to committed: /'; echo
number=$(field config_number)

if [ -z "${FAILOVER_ONLY:-}" ]; then
follower=$(field leader); follower=$((follower % REPLICAS + 1))
measure_idle () { # seconds label
  local l e b1 b2 c1 c2 f1 f2 g1 g2
  l=$(field leader); e=12
  b1=$(bytes_of $l); c1=$(cpu_of $l); f1=$(bytes_of $e); g1=$(cpu_of $e); h1=$(bytes_of $follower); i1=$(cpu_of $follower)
  eval "$3"
  b2=$(bytes_of $l); c2=$(cpu_of $l); f2=$(bytes_of $e); g2=$(cpu_of $e); h2=$(bytes_of $follower); i2=$(cpu_of $follower)
  echo "$2: leader $(((b2 - b1) / $1)) B/s, CPU $(awk "BEGIN {print ($c2 - $c1) / $1 / 10}")%; follower $(((h2 - h1) / $1)) B/s, $(awk "BEGIN {print ($i2 - $i1) / $1 / 10}")%; entry $(((f2 - f1) / $1)) B/s, $(awk "BEGIN {print ($g2 - $g1) / $1 / 10}")%"
}
measure_idle 12 "idle" "sleep 12"
measure_idle 12 "7,600 changes a day" "put; sleep 12"
measure_idle 12 "760,000 changes a day" 'end=$(($(now_ms) + 12000)); while [ $(now_ms) -lt $end ]; do put; sleep 0.1; done'
echo "memory: leader $(rss_of "$(field leader)") KB, follower $(rss_of $follower) KB, entry $(rss_of 12) KB"

for _ in 1 2 3; do t=$(now_ms); put; want=$number; while [ "$(field in_force)" -lt "$want" ]; do :; done; echo $(($(now_ms) - t)); done >"$WORK/times"; quantiles <"$WORK/times" | sed 's/^/submission to in force: /'; echo
number=$(field config_number)
kill -STOP "${PID[11]}"
t=$(now_ms); put; while [ "$(field in_force)" -lt "$number" ]; do sleep 0.02; done
echo "submission to in force with one entry stopped: $(($(now_ms) - t)) ms"
kill -CONT "${PID[11]}"

# Claims: unique keys to the non-idempotent call, over HTTP, 64 at a time.
for i in $(seq 1500); do
  printf 'url = "http://127.0.0.1:%d/v1/services/epistrofes-app/credits/confirm"\nheader = "Authorization: Bearer demo-kiosk-patra"\nheader = "Idempotency-Key: k%d"\ndata = "{}"\noutput = /dev/null\n' $((BASE + 4 + i % 8)) "$i"
  [ "$i" -lt 1500 ] && echo next
done >"$WORK/claims.cfg"
t=$(now_ms); curl -s --parallel --parallel-max 64 -K "$WORK/claims.cfg" 2>/dev/null; t=$(($(now_ms) - t))
echo "claimed calls: 1500 in $t ms, $((1500 * 1000 / t)) a second (two commits each); claims kept: $(field claims)"

fi
for _ in 1 2 3; do
  l=$(field leader); kill -KILL "${PID[$l]}"; t=$(now_ms); until put; do :; done; echo $(($(now_ms) - t)); start_entry "$l"; sleep 3
done >"$WORK/times"; quantiles <"$WORK/times" | sed 's/^/leader killed to next accepted submission: /'; echo
number=$(field config_number)

victim=$(status | grep -o '"owner":[0-9]*' | head -1 | cut -d: -f2)
send () { "$BUILD/bin/wisterialoft" --server "127.0.0.1:$((BASE + 10))" --key demo-kiosk-patra send --service chartis-llm --prompt x --max-tokens 2 >/dev/null 2>&1; }
if [ "$victim" != 10 ] && [ "$victim" != 12 ]; then
  owner=$(curl -s -H 'Authorization: Bearer operator-secret' "http://127.0.0.1:$((BASE + 10))/v1/status" | tr '{' '\n' | grep '"service":"chartis-llm"' | grep -o '"owner":[0-9]*' | head -1 | cut -d: -f2)
  kill -KILL "${PID[$owner]}"; t=$(now_ms); until send; do :; done
  echo "cell owner killed to next answer: $(($(now_ms) - t)) ms"; start_entry "$owner"; sleep 3
fi

l=$(field leader); f=$((l % REPLICAS + 1)); kill -KILL "${PID[$f]}"
for _ in $(seq 500); do put; done
size=$(du -sk "$WORK/data-$l" | cut -f1)
t=$(now_ms); start_entry "$f"
until [ "$(curl -s -m 1 -H 'Authorization: Bearer operator-secret' "http://127.0.0.1:$((BASE + f))/v1/status" | grep -o '"node":{.*' | grep -o '"config_number":[0-9]*' | head -1 | cut -d: -f2)" = "$number" ]; do :; done
echo "rejoin after 500 changes: $(($(now_ms) - t)) ms; data folder of the leader: $size KB"
