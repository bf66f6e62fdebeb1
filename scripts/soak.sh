#!/bin/sh
# Runs the soak test with injected faults. Arguments: the number of seconds per
# seed, then the seeds; without seeds it draws three random ones. Keeps the folder
# with settings and logs of each seed that failed.
#   scripts/soak.sh 30 1 2 3      scripts/soak.sh 60
# SOAK_SIZE sets the size of the deployment, here to 83 processes at most:
#   SOAK_SIZE="--entries 4 --engines 4 --writers 48" scripts/soak.sh 30 1
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
    echo "settings and logs are in $work"
    failed=1
  fi
done
exit $failed
