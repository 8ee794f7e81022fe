#!/usr/bin/env bash
# Three customers, one of them heavy: the report must name it, receipts must verify, and a tampered
# file must not. heavy.sh [BUILD]
set -u
BUILD=$(cd "${1:-build}" && pwd)
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
MODEL_SERVICE=chartis-llm PLAIN_SERVICE=epistrofes-app DOMAINS=attiki-a,attiki-b,attiki-c
WORKERS=4 ENTRY_COUNT=6 BASE=${BASE:-27000}
EMULATOR_FLAGS="--speed 6 --loaded chartis:1"
. scripts/system.sh
trap 'stop_system; rm -rf "$WORK"' EXIT
failed=0
expect () { local what=$1; shift; if "$@" >/dev/null 2>&1; then echo "  ok    $what"; else echo "  FAIL  $what"; failed=1; fi; }
start_system
for _ in $(seq 50); do operator submit examples/athens.yaml --replaces 0 >/dev/null 2>&1 && break; sleep 0.2; done
wait_ready || exit 1
"$BUILD/bin/wl-load" --entries "$(entry_list)" --service chartis-llm --rate 7 --seconds 90 --speed 6 --heavy 10 \
  --keys demo-distributor-athina,demo-kiosk-piraeus,demo-kiosk-patra
operator report burn
operator --format json report burn >"$WORK/burn.json"
cause () { # the customer whose work delayed $1 most
  python3 - "$WORK/burn.json" "$1" <<'P'
import json, sys
delays = [d for d in json.load(open(sys.argv[1]))['delays'] if d['victim'] == sys.argv[2]]
print(max(delays, key=lambda d: d['delay_us'])['cause'])
P
}
expect "the report names the heavy customer as the cause of kiosk-piraeus' waiting" test "$(cause kiosk-piraeus)" = distributor-athina
expect "and of kiosk-patra's" test "$(cause kiosk-patra)" = distributor-athina
operator --format html report burn >"$WORK/burn.html"
expect "the page has a plot" grep -q '<svg' "$WORK/burn.html"
sleep 11 # receipt roots are committed every ten seconds
for c in distributor-athina kiosk-piraeus kiosk-patra; do
  cli --key "demo-$c" report receipts >"$WORK/$c.json"
  expect "$c's receipts verify" cli verify --receipts "$WORK/$c.json"
done
python3 - "$WORK/kiosk-patra.json" "$WORK/tampered.json" <<'P'
import json, sys
export = json.load(open(sys.argv[1]))
chain = max(export['chains'], key=lambda c: len(c['receipts']))
chain['receipts'][len(chain['receipts']) // 2]['ended_us'] += 1
json.dump(export, open(sys.argv[2], 'w'))
P
cli verify --receipts "$WORK/tampered.json"
expect "a tampered file does not" test $? = 1
exit $failed
