#!/bin/sh
# Regenerates the code of the published schema. The generated code is committed, so
# that the build needs no generator. Requires protobuf-compiler.
set -eu
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=packages/api/generated proto/pimentofront.proto
