#!/bin/sh
# Runs the quiet days of the newest deployments on the users' platform. Requires the
# users' kit; the argument is its folder, by default one next to the checkout.
set -eu
cd "$(dirname "$0")/.."
kit=${1:-../given/kit/more/system}
bench=$kit/more/bench-993d7d/bin/fleetbench
if [ ! -x "$bench" ]; then
  echo "the users' kit was not found in $kit; scripts/test.sh runs without it"
  exit 3
fi
for site in large/ccsm-ops-large further/krl-routeplan; do
  "$bench" run "$kit/$site.toml" quiet-1 | sed -n '/^day /,/^worth /p'
done
