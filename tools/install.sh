#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need and that are
# not installed yet. Prints the log of apt-get only on failure.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy cppcheck curl
  libevent-dev libssl-dev prometheus-cpp-dev libabsl-dev libeasyloggingpp-dev
  libcriterion-dev nlohmann-json3-dev libcsv-dev libxxhash-dev libboost-dev
  librapidcheck-dev libvalijson-dev libicu-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! { apt-get update && apt-get install -y --no-install-recommends \
  "${missing[@]}"; } > "$log" 2>&1; then
  cat "$log"
  exit 1
fi
