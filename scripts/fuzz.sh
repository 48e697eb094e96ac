#!/usr/bin/env bash
# Builds and runs one fuzz target for a bounded number of inputs:
# fuzz.sh [target] [runs] [seed]. Starts from the files of examples/.
set -eu
cd "$(dirname "$0")/.."
target=${1:-rules}
runs=${2:-20000}
seed=${3:-1}
declare -A sources=(
  [rules]="src/base/*.cc src/rules/*.cc proto/rules.pb.cc"
  [platform]="src/base/*.cc src/http/*.cc src/traffic/*.cc platform/decode*.cc platform/field_reader.cc platform/store_codec.cc platform/store_client.cc src/edge/relay_protocol.cc"
)
out=build/fuzz
corpus=$out/$target-corpus
rm -rf "$corpus"
mkdir -p "$corpus"
cp examples/*."$target" "$corpus"/ 2> /dev/null || true
# shellcheck disable=SC2086
clang++-14 -std=c++20 -g -O1 -fsanitize=fuzzer,address -I. -Iinclude \
  "fuzz/${target}_fuzz.cc" ${sources[$target]} \
  $(pkg-config --cflags --libs protobuf libxxhash libevent libcrypto) -o "$out/$target"
# The protobuf library is not instrumented, hence no container checks.
ASAN_OPTIONS=detect_container_overflow=0 "$out/$target" -runs="$runs" \
  -seed="$seed" -max_len=8192 -timeout=10 -rss_limit_mb=1024 \
  -artifact_prefix="$out/" "$corpus"
