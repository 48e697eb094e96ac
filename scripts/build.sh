#!/usr/bin/env bash
# Configures and builds one variant: release (default) or sanitize.
set -eu
cd "$(dirname "$0")/.."
variant=${1:-release}
options=()
[ "$variant" = sanitize ] && options+=(-DCOMFREYSTAND_SANITIZE=ON)
if [ ! -f "build/$variant/build.ninja" ]; then
  mkdir -p build
  cmake -S . -B "build/$variant" -G Ninja "${options[@]}" > "build/$variant-configure.log" 2>&1 ||
    { cat "build/$variant-configure.log"; exit 1; }
fi
ninja -C "build/$variant" ${COMFREYSTAND_JOBS:+-j "$COMFREYSTAND_JOBS"} --quiet
