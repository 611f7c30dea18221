#!/bin/sh
# Builds the stand-in that the scripts of review/11 and up start.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/_stand3
