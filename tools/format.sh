#!/usr/bin/env bash
# Formats all sources. With --check, changes nothing and fails if a source is
# not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(find include src platform standins bench examples tests \
  -name '*.h' -o -name '*.cc' | sort)
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
