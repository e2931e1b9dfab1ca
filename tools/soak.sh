#!/usr/bin/env bash
# Runs the fault-injection soak test of jaypick-node with several seeds in
# sequence.
#
# Usage: soak.sh <first seed> <seeds> [<seconds each>]
#
# The logs of the test and of its nodes are kept in soak-logs/<seed>/ if it
# fails.
set -uo pipefail
cd "$(dirname "$0")/.."
first=$1
count=$2
seconds=${3:-15}
# SOAK_BUILD names a copy of the build folder, so that the programs can be
# rebuilt during a long run.
build=${SOAK_BUILD:-build/release}
failed=0
for ((seed = first; seed < first + count; ++seed)); do
  folder=soak-logs/$seed
  mkdir -p "$folder"
  if SOAK_SEED=$seed SOAK_SECONDS=$seconds SOAK_FOLDER=$folder \
    "$build/jaypick_tests" --filter 'soak/seeded*' > "$folder/run.log" 2>&1
  then
    grep -a '^soak seed' "$folder/run.log"
    rm -rf "$folder"
  else
    grep -aE '^soak seed|violation:' "$folder/run.log"
    failed=$((failed + 1))
  fi
done
echo "$((count - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
