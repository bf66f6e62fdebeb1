#!/bin/sh
# The fault soak. Arguments: a number of seconds for each seed, then seeds; without
# seeds three fresh ones. Keeps the folder (settings, logs) of a seed that failed.
#   scripts/soak.sh 30 1 2 3      scripts/soak.sh 60
set -eu
cd "$(dirname "$0")/.."
bin=${PIMENTOFRONT_BUILD:-$PWD/build}
time=${1:-30}
[ $# -eq 0 ] || shift
[ $# -gt 0 ] || set -- $(od -An -N12 -tu4 /dev/urandom)
. scripts/free-ports.sh
failed=0
for seed in "$@"; do
  work=$(mktemp -d)
  port=$(free_ports 10 "$work")
  if "$bin/test/pimentofront-soak" --daemon "$bin/packages/daemon/pimentofrontd" \
    --folder "$work" --port "$port" --seed "$seed" --seconds "$time" ${SOAK_SIZE:-} \
    >"$work/report" 2>&1; then
    tail -n 1 "$work/report"
    rm -rf "$work"
  else
    grep -E '^BROKEN|^seed' "$work/report" || tail -n 5 "$work/report"
    echo "kept in $work"
    failed=1
  fi
done
exit $failed
