#!/usr/bin/env bash
# Runs clang-tidy and cppcheck on all sources except the tests.
#
# Usage: lint.sh <build folder with compile_commands.json>
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1

mapfile -t files < <(find src platform standins bench examples -name '*.cc' | sort)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" > "$log" 2>/dev/null
then
  grep -E 'error|warning|note' "$log" | sort -u
  exit 1
fi
cppcheck --quiet --enable=warning,performance,portability --std=c++20 \
  --language=c++ --inline-suppr --suppress=missingIncludeSystem \
  --suppress=unknownMacro --error-exitcode=1 -j "$(nproc)" -I include -I src -I . \
  "${files[@]}"
