#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -ra flags < <(pkg-config --cflags --libs cpp-httplib)
for name in store executor; do
    g++ -std=c++20 -O2 -o "target/review/$name" "review/standins/$name.cpp" -pthread "${flags[@]}"
done
