#!/usr/bin/env bash
# Runs the formatter, the linter and all tests, and prints the known failing tests. A failure is passed
# over only if every failed test is the first word of a row of KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
grep -v "^#" KNOWN-RED.txt || true
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if make all-tests 2>&1 | tee "$log"; then
  exit 0
fi
# The last package must have been run, which runs twice, and nothing may have failed without a test's name.
[ "$(grep -cE '^(ok|FAIL)\s+\S+/platform/process\s' "$log")" -eq 2 ] || exit 1
if grep -qE '^panic:|build failed|setup failed|\*\*\* Test killed|test timed out|DATA RACE' "$log"; then exit 1; fi
failed=$(sed -nE 's/^--- FAIL: ([A-Za-z0-9_]+).*/\1/p' "$log" | sort -u)
[ -n "$failed" ] || exit 1
for name in $failed; do
  grep -qE "^$name[, |]" KNOWN-RED.txt || exit 1
  echo "known red, passed over: $name"
done
