#!/bin/sh
# Generates the code of the published schema anew; its result is committed, so
# the build needs no generator. Needs: protobuf-compiler.
set -eu
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=packages/api/generated proto/pimentofront.proto
