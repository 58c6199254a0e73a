#!/usr/bin/env bash
# Builds the stand-ins and callers of the review's scripts into target/review/. Needs g++ and the
# package nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
