#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2.cc -o target/review/standin-2
