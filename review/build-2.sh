#!/usr/bin/env bash
# Builds the programs of the cases in review/6 and above, after the build of the
# deploy file. They consist of the stand-ins in review/stand-2/, the project's
# own stand-in for the platform's store, and the project's HTTP classes.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Isrc -Iinclude)
sources=(
  review/stand-2/stand.cc
  review/stand-2/upstream.cc
  standins/platform_store.cc
  standins/port_holder.cc
  src/daemon/event_base.cc
  src/http/client.cc
  src/http/connection_budget.cc
  src/http/evhttp_conversions.cc
  src/http/http.cc
  src/http/server.cc
  src/http/socket_options.cc
  src/node/runtime.cc
)
objects=()
jobs=()
for source in "${sources[@]}"; do
  object=$out/$(echo "${source%.cc}" | tr / _).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
read -r -a libraries <<< "$(pkg-config --libs absl_strings libevent)"
for name in job_size late_stops kind; do
  g++ "${flags[@]}" "review/stand-2/$name.cc" "${objects[@]}" \
    -o "$out/$name" "${libraries[@]}"
done
