#!/bin/bash
# Builds the stand-ins of the cases, into target/review.
set -e
cd "$(dirname "$0")/.."
cmake -S review/stand -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review
