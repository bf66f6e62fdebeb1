#!/bin/sh
# The platform's words stay in platform/: nothing of the product knows them.
set -eu
cd "$(dirname "$0")/.."
words='Pimentofront-[A-Z]|/-/|pathPrefix|routeType|adapterSlots|heartbeatUrl|targetLatencyMs|kvCapacity|hostname"'
if git grep -nE "$words" -- packages bench; then
  echo "the platform's words stand outside platform/"
  exit 1
fi
lines=$(git ls-files platform | grep -E '\.(h|cpp)$' | tr '\n' '\0' | xargs -0 cat | wc -l)
[ "$lines" -le 1500 ] || { echo "platform/ has $lines lines, over 1500"; exit 1; }
echo "platform/ has $lines lines, its words stay there"
