#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15, from the
# project's own HTTP code and its stand-in for the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Iinclude -Isrc -I. $(pkg-config --cflags libevent))
objects=()
for source in review/stand-3/*.cc standins/platform_store.cc src/http/*.cc \
  src/node/runtime.cc; do
  object=$out/$(echo "$source" | tr / _).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
done
wait
g++ "${objects[@]}" -o "$out/stand-3" $(pkg-config --libs libevent) \
  -labsl_strings
