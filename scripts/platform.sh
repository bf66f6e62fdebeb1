#!/bin/sh
# Plays the calm day of both sites on the users' platform. Needs their kit, whose
# folder is given as the argument or lies beside the checkout.
set -eu
cd "$(dirname "$0")/.."
kit=${1:-../given/kit/more/system}
if [ ! -x "$kit/bin/fleetbench" ]; then
  echo "the users' kit isn't there ($kit); the tests of scripts/test.sh run without it"
  exit 3
fi
for site in ccsm-ops ammann-trasse; do
  "$kit/bin/fleetbench" run "$kit/sites/$site.toml" quiet-1 | sed -n '/^day /,/^worth /p'
done
