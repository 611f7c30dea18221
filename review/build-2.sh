#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/.
cd "$(dirname "$0")/.." && mkdir -p target && go build -o target/review-stand2 ./review/_stand2
