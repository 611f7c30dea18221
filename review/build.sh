#!/bin/sh
# Builds the stand-ins that the scripts start, into review/.bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -o review/.bin/stand.new ./review/_stand
mv review/.bin/stand.new review/.bin/stand
