#!/bin/sh
# Configures and builds everything into ./build.
set -eu
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake -G Ninja -S . -B build >build.log 2>&1 || { cat build.log; exit 1; }
rm -f build.log
ninja -C build
