#!/bin/sh
# Runs one case of the crowds of clients that don't behave, or all of them one
# after the other. Arguments: the build folder, then the names of cases. Keeps the
# folder with settings and logs of each case that failed.
set -eu
bin=$1
shift
. "$(dirname "$0")/../../../scripts/free-ports.sh"
crowd="$bin/test/pimentofront-crowd"
[ $# -gt 0 ] || set -- $("$crowd" || true)
failed=0
for it in "$@"; do
  work=$(mktemp -d)
  port=$(free_ports 6 "$work")
  echo "case $it"
  if "$crowd" --daemon "$bin/packages/daemon/pimentofrontd" --folder "$work" \
    --port "$port" --case "$it"; then
    rm -rf "$work"
  else
    echo "settings and logs are in $work"
    failed=1
  fi
done
exit $failed
