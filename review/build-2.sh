#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's cases into target/review-2; the deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wall -Wextra -DCPPHTTPLIB_USE_POLL)
read -ra libraries < <(pkg-config --libs cpp-httplib absl_strings absl_str_format)
pids=()
for source in review/standins-2/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
parts=("$out"/httppeer.o "$out"/record.o "$out"/store.o "$out"/executor.o "$out"/site.o)
for source in review/standins-2/case*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -pthread -o "$out/$name" "$out/$name.o" "${parts[@]}" "${libraries[@]}"
done
