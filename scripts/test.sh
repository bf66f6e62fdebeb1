#!/bin/sh
# Installs what is missing, builds, and runs all tests.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir build --output-on-failure
