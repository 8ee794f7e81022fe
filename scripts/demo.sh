#!/usr/bin/env bash
# An Athens-sized system on loopback; exits 0 only if every expectation held.
set -u
BUILD=$(cd "${1:-build}" && pwd)
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
MODEL_SERVICE=chartis-llm PLAIN_SERVICE=epistrofes-app DOMAINS=attiki-a,attiki-b,attiki-c
EMULATOR_FLAGS="--speed 10 --load-ms 2000"
. scripts/system.sh
trap 'stop_system; rm -rf "$WORK"' EXIT
failed=0
expect () { # expect DESCRIPTION COMMAND...
  local what=$1; shift
  if "$@" >"$WORK/out" 2>"$WORK/err"; then echo "  ok    $what"; else
    echo "  FAIL  $what"; sed 's/^/        /' "$WORK/out" "$WORK/err" | tail -5; failed=1; fi
}
kiosk () { cli --key demo-kiosk-piraeus "$@"; }
count_runs () { grep -c "CALL .*key=$1" "$WORK/plain.log"; }

echo "starting 12 entries (3 of them control), 20 engines, 3 app endpoints"
start_system
expect "the services text is sound" cli check examples/athens.yaml
for _ in $(seq 50); do operator submit examples/athens.yaml --replaces 0 >/dev/null 2>&1 && break; sleep 0.2; done
expect "the submission is in force everywhere" operator submit examples/athens.yaml --replaces 0 --wait in-force
expect "a second text under the same number conflicts" bash -c "! $BUILD/bin/wisterialoft --server $(entry_list) --key operator-secret submit examples/monterrey.yaml --replaces 0"
expect "all endpoints have loaded their models" wait_ready
expect "callers are told 12 addresses" bash -c "[ \$($BUILD/bin/wisterialoft --server $(entry_list) --key demo-kiosk-piraeus entries | wc -l) = 12 ]"
expect "the status names the leader" operator status
expect "the accepted text can be shown" operator show --number 1
expect "a short prompt is answered" kiosk send --service chartis-llm --prompt "summarise today's slips"
id=$(kiosk --format json send --service chartis-llm --prompt "today" | grep -o '"id":"[0-9a-f]*"' | cut -d'"' -f4)
expect "the decisions on a request are shown" operator status --request "$id"
expect "a short prompt is streamed" kiosk send --service chartis-llm --prompt-tokens 2000 --stream
expect "a long prompt is answered" kiosk send --service chartis-llm --prompt-tokens 120000 --max-tokens 32
expect "a prompt beyond one engine is answered" kiosk send --service chartis-llm --prompt-tokens 900000 --max-tokens 16
expect "a prompt beyond the service's limit is refused" bash -c "! $BUILD/bin/wisterialoft --server $(entry_list) --key demo-kiosk-piraeus send --service chartis-llm --prompt-tokens 1100000"
expect "an unknown key is refused" bash -c "! $BUILD/bin/wisterialoft --server $(entry_list) --key wrong send --service chartis-llm --prompt x"
expect "a credit is confirmed" kiosk send --service epistrofes-app --path /credits/confirm --idempotency-key credit-1 --prompt '{"credit":1}'
first=$(cat "$WORK/out")
expect "the same key gets the stored answer" kiosk send --service epistrofes-app --path /credits/confirm --idempotency-key credit-1 --prompt '{"credit":1}'
expect "both answers are the same" test "$first" = "$(cat "$WORK/out")"
expect "the credit ran once" test "$(count_runs credit-1)" = 1
expect "the key with another request is refused" bash -c "! $BUILD/bin/wisterialoft --server $(entry_list) --key demo-kiosk-piraeus send --service epistrofes-app --path /credits/confirm --idempotency-key credit-1 --prompt other"

echo "evacuating attiki-b"
not () { ! "$@"; }
status_names () { operator status | grep -q "^evacuated: $1\$"; }
expect "an evacuation is acknowledged" operator evacuate attiki-b
expect "the status names it" status_names attiki-b
expect "a prompt is answered elsewhere" kiosk send --service chartis-llm --prompt-tokens 1000
expect "the same command is acknowledged again" operator evacuate attiki-b
expect "its end is acknowledged" operator evacuate attiki-b --finish
expect "the status names it no longer" not status_names attiki-b
expect "a name of 100 bytes is refused" bash -c "! $BUILD/bin/wisterialoft --server $(entry_list) --key operator-secret evacuate $(printf 'x%.0s' $(seq 100))"

echo "stopping entry 7 during a stream"
"$BUILD/bin/wisterialoft" --server 127.0.0.1:$((BASE + 7)) --key demo-kiosk-volos send --service chartis-llm \
  --prompt-tokens 3000 --max-tokens 1500 --stream >"$WORK/stream" 2>"$WORK/stream.err" & stream=$!
sleep 0.7
kill -TERM "${PID[7]}"
"$BUILD/bin/wisterialoft" --server 127.0.0.1:$((BASE + 7)) --key demo-kiosk-volos send --service chartis-llm --prompt x >/dev/null 2>"$WORK/refused"
expect "a new request is refused as not run, with other addresses" grep -q '"run":"not_run".*"entries":\[{' "$WORK/refused"
wait "$stream"; stream_status=$?
expect "the stream was not cut off" test "$stream_status" = 0
expect "all of its 1500 tokens arrived" test "$(tr ' ' '\n' <"$WORK/stream" | grep -c .)" = 1500
for _ in $(seq 100); do kill -0 "${PID[7]}" 2>/dev/null || break; sleep 0.1; done
expect "the entry exited by itself" bash -c "! kill -0 ${PID[7]} 2>/dev/null"
unset 'PID[7]'
expect "callers are no longer sent to it" bash -c "! $BUILD/bin/wisterialoft --server 127.0.0.1:$((BASE + 1)) --key demo-kiosk-volos entries | grep -q :$((BASE + 7))"
expect "requests go on" kiosk send --service chartis-llm --prompt-tokens 1000
echo "restarting entry 7 with TLS"
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=wisterialoft -addext subjectAltName=IP:127.0.0.1 \
  -keyout "$WORK/key.pem" -out "$WORK/cert.pem" 2>/dev/null
WISTERIALOFT_TLS_CERTIFICATE="$WORK/cert.pem" WISTERIALOFT_TLS_KEY="$WORK/key.pem" start_entry 7
https () { WISTERIALOFT_CA="$WORK/cert.pem" "$BUILD/bin/wisterialoft" --server "https://127.0.0.1:$((BASE + 7))" --key demo-kiosk-volos "$@"; }
for _ in $(seq 50); do https entries >/dev/null 2>&1 && break; sleep 0.2; done
expect "a prompt is streamed over TLS" https send --service chartis-llm --prompt-tokens 1500 --stream
expect "a wrong certificate is refused" bash -c "! $BUILD/bin/wisterialoft --server https://127.0.0.1:$((BASE + 7)) --key demo-kiosk-volos entries"
kiosk report receipts >"$WORK/receipts.json" 2>/dev/null
expect "the customer's receipts verify" cli verify --receipts "$WORK/receipts.json"
sed 's/"tokens": 64/"tokens": 65/' "$WORK/receipts.json" >"$WORK/tampered.json"
expect "tampered receipts do not" bash -c "! $BUILD/bin/wisterialoft verify --receipts $WORK/tampered.json"
expect "the report is a page too" operator --format html report burn
echo
operator report burn
[ "$failed" = 0 ] && echo "every expectation held" || echo "expectations failed"
exit "$failed"
