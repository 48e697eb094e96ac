#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program a case, in
# build/review-2. The cases start it beside the deploy file's build in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[6-9]/case.cc review/10/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "build/review-2/case-$number"
done
