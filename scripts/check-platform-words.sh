#!/bin/sh
# Checks that names of the platform's interface appear only in platform/: the rest
# of the product must not depend on them. Also limits the size of platform/.
set -eu
cd "$(dirname "$0")/.."
words='Pimentofront-[A-Z]|/-/|pathPrefix|routeType|adapterSlots|heartbeatUrl|targetLatencyMs|kvCapacity|hostname"|"pressure"'
if git grep -nE "$words" -- packages bench; then
  echo "names of the platform's interface appear outside platform/"
  exit 1
fi
lines=$(git ls-files platform | grep -E '\.(h|cpp)$' | tr '\n' '\0' | xargs -0 cat | wc -l)
[ "$lines" -le 1500 ] || { echo "platform/ has $lines lines, over 1500"; exit 1; }
echo "platform/ has $lines lines, and its names appear nowhere else"
