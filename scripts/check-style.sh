#!/bin/sh
# Runs the formatter and the linter on all sources except the generated ones.
set -eu
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || scripts/build.sh
sources=$(git ls-files '*.h' '*.cpp' | grep -v /generated/)
echo "$sources" | xargs clang-format --dry-run --Werror
echo "$sources" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "formatter and linter found nothing"
