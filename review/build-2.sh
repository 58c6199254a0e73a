#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (review/6 and higher) into target/review-2.
# What they share is review/6/standin.hh.
# Needs a C++17 compiler and nlohmann-json3-dev, which the deploy file names too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    c++ -std=c++17 -O2 -Wall -Wextra -pthread -I review/6 "$source" \
        -o "target/review-2/case-$number"
done
