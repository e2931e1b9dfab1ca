#!/usr/bin/env bash
# Runs all tests in the release and the sanitizer build and prints the number of
# passed and failed ones.
#
# Failures of the tests that KNOWN-RED.txt lists (lines "test: <suite>/<name>")
# are printed but do not fail the run.
#
# The tests with untrusted clients fill the memory of a process. They run one at
# a time, after the others.
set -uo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
for preset in release sanitize; do
  echo "== $preset"
  report=$(mktemp)
  apart=$(mktemp)
  build/$preset/jaypick_tests --jobs "$(nproc)" --tap="$report" --quiet \
    --filter '!(untrusted_clients)/*'
  build/$preset/jaypick_tests --jobs 1 --tap="$apart" --quiet \
    --filter 'untrusted_clients/*'
  cat "$apart" >> "$report"
  rm -f "$apart"
  mapfile -t red < <(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
  while IFS= read -r line; do
    case $line in
      "ok "*) passed=$((passed + 1)) ;;
      "not ok "*)
        name=$(sed -E 's/^not ok - ([A-Za-z0-9_]+)::([A-Za-z0-9_]+).*/\1\/\2/' \
          <<< "$line")
        if printf '%s\n' "${red[@]:-}" | grep -qxF "$name"; then
          echo "known red: $name"
        else
          echo "$line"
          failed=$((failed + 1))
        fi
        ;;
    esac
  done < "$report"
  rm -f "$report"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
