#!/usr/bin/env bash
# Runs an experiment against the same system as scripts/demo.sh:
#   scripts/experiment.sh examples/flood.ini [--plot flood.svg]
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/bin
work=$(mktemp -d)
plan=$1
shift

# shellcheck source=scripts/system.sh
. "$root/scripts/system.sh"

finish() {
    code=$?
    trap - EXIT
    end_all
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start_guaiba
title "chiveramp apply examples/guaiba.ini"
operate apply --author experiment "$root/examples/guaiba.ini"
# shellcheck disable=SC2086 # one word for each URL
"$bin/chiveramp-load" await $urls
"$bin/chiveramp-load" entries --entry "$entries" --profile chat --least 3 >"$work/entries.txt"
title "chiveramp-load run --plan $plan"
"$bin/chiveramp-load" run --entry "$entries" --plan "$plan" --standin "$@"
title "chiveramp profiles"
operate profiles
