#!/bin/sh
# Decisions go by the boot clock, which counts the time that a host is suspended:
# only the event loop reads a clock, and none reads the steady one, which doesn't.
set -eu
cd "$(dirname "$0")/.."
found=$(git grep -nE 'steady_clock|CLOCK_MONOTONIC|event_base_gettimeofday|gettimeofday\(' -- \
  'packages/*.cpp' 'packages/*.h' 'platform/*.cpp' 'platform/*.h' || true)
reads=$(git grep -lE 'clock_gettime|system_clock::now' -- 'packages/*.cpp' 'platform/*.cpp' |
  grep -vE '^packages/(net/pimentofront/src/Net/EventLoop|ctl/src/main)\.cpp$' || true)
[ -z "$found$reads" ] || { printf 'clocks that decisions must not read:\n%s\n%s\n' "$found" "$reads"; exit 1; }
echo "only the event loop reads a clock, and it counts the time asleep"
