#!/usr/bin/env bash
# Shows the whole path with separate processes on loopback: callers, entry
# instances, dispatchers, endpoints; kills one instance on the way. Exit code 0
# only if every answer was whole.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
work=$(mktemp -d)
document=$root/examples/guaiba.ini
services="matcher,board-app,handover,catalog"

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

title() { printf '\n== %s\n' "$*"; }

# send ARGUMENTS... sends requests through the system and checks every word.
send() {
    "$bin/chiveramp-load" send --entry "$entries" --document "$document" --standin "$@"
}

title "stand-ins: a platform, four engines, two plain services"
start_platform
start_engine matcher-1 matcher litoral-sul litoral-1 --memory 80GiB \
    --models matcher-full@2026-09=14GiB,matcher-bus-centro=6GiB
start_engine matcher-2 matcher serra-norte serra-1 --memory 80GiB \
    --models matcher-full@2026-09=14GiB,matcher-ski-pista=6GiB
start_engine board-1 board-app litoral-sul litoral-1 --models board-citizen=4GiB,board-clerk=4GiB
start_engine board-2 board-app serra-norte serra-1 --models board-citizen=4GiB,board-ski=4GiB
start_service handover litoral-sul litoral-1
start_service catalog serra-norte serra-1

title "four instances in two regions"
urls=""
for place in litoral-1a:litoral-sul:litoral-1 litoral-1b:litoral-sul:litoral-1 \
    serra-1a:serra-norte:serra-1 serra-1b:serra-norte:serra-1; do
    IFS=: read -r name region dc <<<"$place"
    start_instance "$name" "$region" "$dc" "$services"
    echo "$caller $name $pid" >>"$work/processes"
    urls="$urls http://$metrics/ready"
    echo "$name process $pid callers $caller operators $operator"
done
# shellcheck disable=SC2086 # one word for each URL
"$bin/chiveramp-load" await $(printf '%s\n' $urls | sed 's/ready$/health/')

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
title "$name (process $victim), the first entry of callers, is killed while requests run"
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

sleep 5 # until the heartbeats of the killed one are missed
title "chiveramp status"
operate status
title "chiveramp profiles"
operate profiles
title "chiveramp explain: one request"
request=$(awk '$2 == "counter" { id = $NF } END { print id }' "$work/kill.txt")
operate explain "$request"

title "every answer was whole"
