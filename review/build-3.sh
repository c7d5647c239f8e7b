#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into build-review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
g++ -std=c++20 -O1 -o build-review-3/review3 review/standins-3/*.cpp $(pkg-config --cflags --libs cpp-httplib absl_strings tomlplusplus) -pthread
