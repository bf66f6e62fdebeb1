#!/bin/sh
# Installs the Debian 12 packages that the build requires; does nothing if all are
# installed.
set -eu
packages="g++ cmake ninja-build pkg-config clang-format clang-tidy
  libevent-dev libevhtp-dev libwebsocketpp-dev nlohmann-json3-dev
  libprotobuf-dev protobuf-compiler libssl-dev prometheus-cpp-dev
  curl liblog4cplus-dev libexpected-dev catch2 libxxhash-dev libhttp-parser-dev zlib1g-dev"
missing=""
for it in $packages; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q "ok installed" ||
    missing="$missing $it"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing
