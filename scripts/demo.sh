#!/usr/bin/env bash
# Demonstrates the complete request path with separate processes on loopback:
# callers, entry instances, dispatchers and endpoints. One instance is killed while
# requests run. The exit code is 0 only if every answer was complete.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
work=$(mktemp -d)
document=$root/examples/guaiba.ini

# shellcheck source=scripts/system.sh
. "$root/scripts/system.sh"

finish() {
    code=$?
    trap - EXIT
    if [ "$code" -ne 0 ]; then
        echo "demo: failed with exit code $code; last lines of the logs:"
        tail -n 5 "$work"/*.log "$work"/*.err || true
    fi
    end_all
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# send ARGUMENTS... sends requests through the system and checks every word of the answers.
send() {
    "$bin/chiveramp-load" send --entry "$entries" --document "$document" --standin "$@"
}

start_guaiba

title "chiveramp apply examples/guaiba.ini"
operate apply --author demo "$document"
# shellcheck disable=SC2086
"$bin/chiveramp-load" await $urls

title "GET /v1/entries?profile=chat"
"$bin/chiveramp-load" entries --entry "$entries" --profile chat --least 3 | tee "$work/entries.txt"

title "requests of each rank"
send --count 4 chat:board-citizen counter:matcher-full@2026-09 night:matcher-bus-centro \
    handover:/handover/gloves chat:/catalog/gloves | tee "$work/first.txt"
send --count 2 --whole chat:board-ski counter-ski:matcher-ski-pista

first=$(awk 'NR == 1 { print $1 }' "$work/entries.txt")
read -r _ name victim < <(grep "^$first " "$work/processes")
title "$name (process $victim), the entry instance that callers try first, is killed while requests run"
send --callers 12 --count 60 --rate 60 --tokens 40 chat:board-citizen counter:matcher-full@2026-09 night:matcher-bus-centro >"$work/kill.txt" &
sending=$!
sleep 1
kill -KILL "$victim"
{ wait "$victim" || true; } 2>/dev/null
sent=0
wait "$sending" || sent=$?
awk 'NR == 1 || NR % 15 == 0' "$work/kill.txt"
grep -B1 '^    ' "$work/kill.txt" || true
tail -n 1 "$work/kill.txt"
[ "$sent" -eq 0 ]

sleep 5 # until the system has noticed the missing heartbeats of the killed instance
title "chiveramp status"
operate status
title "chiveramp profiles"
operate profiles
title "chiveramp explain: one request"
request=$(awk '$2 == "counter" { id = $NF } END { print id }' "$work/kill.txt")
operate explain "$request"

title "every answer was complete"
