#!/usr/bin/env bash
# Plays the same days of a site on several commits in turn, with the same seeds, and compares the parts of their
# worth with those of the first commit:
#   scripts/drift.sh --bench PROGRAM --site FILE [--days quiet-1,trouble-1] [--rounds 3] [--cpu] COMMIT...
# Round N plays with seed N. Processor time isn't counted unless --cpu is given; then nothing else should run. The journal's
# entries are copied into this repository's journal.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
days=quiet-1,trouble-1,scale-1
rounds=3
cpu=--no-cpu
bench=""
site=""
while [ $# -gt 0 ]; do
    case $1 in
    --bench) bench=$(realpath "$2") && shift 2 ;;
    --site) site=$(realpath "$2") && shift 2 ;;
    --days) days=$2 && shift 2 ;;
    --rounds) rounds=$2 && shift 2 ;;
    --cpu) cpu="" && shift ;;
    -*) echo "drift: unknown option $1" >&2 && exit 2 ;;
    *) break ;;
    esac
done
if [ -z "$bench" ] || [ -z "$site" ] || [ $# -lt 2 ]; then
    sed -n '2,7s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi

work=$(mktemp -d)
finish() {
    code=$?
    trap - EXIT
    for c in "$work"/tree-*; do
        [ -d "$c" ] || continue
        cp -rn "$c/journal/." "$root/journal/"
        git -C "$root" worktree remove --force "$c"
    done
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

for c in "$@"; do
    git -C "$root" worktree add --quiet --detach "$work/tree-$c" "$c"
done
for round in $(seq "$rounds"); do
    for day in ${days//,/ }; do
        for c in "$@"; do
            # A day with a broken rule ends with an error and has a report all the same.
            (cd "$work/tree-$c" && "$bench" run "$site" "$day" --seed "$round" ${cpu:+"$cpu"} \
                --why "drift: $day on $c beside $*, round $round") >"$work/play-$day-$c-$round" 2>&1 || true
            echo "$day $c $round $(grep -m1 '^worth ' "$work/play-$day-$c-$round" || echo 'no report')" >&2
        done
    done
done

# Lines of a report: "worth 0.910 = whole day 0.989 (weight 0.75), ... less prices", then one for each price.
for day in ${days//,/ }; do
    for c in "$@"; do
        for round in $(seq "$rounds"); do
            awk -v key="$day $c $round" '
                /^worth / { print key, $2, "worth"; print key, $6, "whole day"; prices = 1; next }
                prices && /^ +-/ { v = $1; sub(/^--?/, "", v); name = $3; for (i = 4; i <= NF; i++) name = name " " $i; print key, -v, name; next }
                prices && /^$/ { exit }' "$work/play-$day-$c-$round"
        done
    done
done | awk -v first="$1" '
    { name = $5; for (i = 6; i <= NF; i++) name = name " " $i
      k = $1 SUBSEP name SUBSEP $2; n[k]++; sum[k] += $4; sq[k] += $4 * $4
      if (!(k in low) || $4 < low[k]) low[k] = $4
      if (!(k in high) || $4 > high[k]) high[k] = $4
      if (!seen[$1 SUBSEP name]++) order[++rows] = $1 SUBSEP name
      if (!commits[$2]++) list[++count] = $2 }
    END { printf "%-10s %-44s %-10s %8s %8s %8s %8s\n", "day", "part", "commit", "mean", "least", "most", "change"
      for (r = 1; r <= rows; r++) { split(order[r], o, SUBSEP)
        for (c = 1; c <= count; c++) { k = order[r] SUBSEP list[c]; if (!n[k]) continue
          f = order[r] SUBSEP first; change = sum[k] / n[k] - (n[f] ? sum[f] / n[f] : 0)
          if (o[2] != "worth" && o[2] != "whole day" && change < 0.002 && change > -0.002) continue
          printf "%-10s %-44s %-10s %8.4f %8.4f %8.4f %+8.4f\n", o[1], o[2], list[c], sum[k] / n[k], low[k], high[k], change } } }'
