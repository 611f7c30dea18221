#!/usr/bin/env bash
# Measures the latency that the system adds to the first token, and the resource use
# of an idle instance in a group of nine. Prints each with its target.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
work=$(mktemp -d)
document=$work/document.ini
services="matcher"

# shellcheck source=scripts/system.sh
. "$root/scripts/system.sh"

finish() {
    code=$?
    trap - EXIT
    [ "$code" -eq 0 ] || tail -n 5 "$work"/*.log "$work"/*.err || true
    end_all
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

cat >"$document" <<'END'
[profile "speed"]
class = chat
rank = urgent
deadline = 30s
models = *

[model "matcher-a"]
bytes = 4GiB
service = matcher
END

# await_all COUNT waits until all instances are healthy, applies the document, and waits
# until all are ready and the list of entries has at least COUNT.
await_all() {
    # shellcheck disable=SC2086 # one word for each URL
    "$bin/chiveramp-load" await $healths
    operate apply --author speed "$document"
    # shellcheck disable=SC2086
    "$bin/chiveramp-load" await ${healths//health/ready}
    "$bin/chiveramp-load" entries --entry "$entries" --profile speed --least "$1" >"$work/entries.txt"
}

# reset_system ends the previous system and resets its addresses.
reset_system() {
    end_all
    seeds="" entries="" operators="" healths=""
}

echo "== the entry and the dispatcher are two instances, in two data centres"
reset_system
slots=256
start_platform
start_engine engine-1 matcher south south-2 --models matcher-a=4GiB --step 1ms --prefill 1ms
engine=$address
start_instance south-1a south south-1 "$services" warn
entry=$caller
healths="http://$metrics/health"
start_instance south-2a south south-2 "$services" warn
healths="$healths http://$metrics/health"
await_all 2
"$bin/chiveramp-load" compare --entry "$entry" --endpoint "$engine" --profile speed --model matcher-a --standin "$@"

echo "== nine idle instances in one data centre"
reset_system
slots=16
start_platform
for n in 1 2 3; do
    start_engine "engine-$n" matcher south south-1 --models matcher-a=4GiB
done
instances=""
for n in 1 2 3 4 5 6 7 8 9; do
    start_instance "south-1$n" south south-1 "$services"
    instances="${instances:+$instances,}$pid"
    healths="$healths http://$metrics/health"
done
await_all 3
sleep 5 # until startup work is done
"$bin/chiveramp-load" idle --pid "$instances"
