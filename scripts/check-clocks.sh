#!/bin/sh
# Decisions use the boot clock, which includes the time while the host is
# suspended. Checks that only the event loop reads a clock, and that nothing reads
# the steady clock, which excludes that time.
set -eu
cd "$(dirname "$0")/.."
found=$(git grep -nE 'steady_clock|CLOCK_MONOTONIC|event_base_gettimeofday|gettimeofday\(' -- \
  'packages/*.cpp' 'packages/*.h' 'platform/*.cpp' 'platform/*.h' || true)
reads=$(git grep -lE 'clock_gettime|system_clock::now' -- 'packages/*.cpp' 'platform/*.cpp' |
  grep -vE '^packages/(net/pimentofront/src/Net/EventLoop|ctl/src/main)\.cpp$' || true)
[ -z "$found$reads" ] || { printf 'clock reads that are not allowed here:\n%s\n%s\n' "$found" "$reads"; exit 1; }
echo "only the event loop reads a clock, and it includes time while suspended"
