#!/usr/bin/env bash
# Builds the stand-ins and clients of review/11 to review/15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -o target/review-3/case-runner review/harness-3/*.cc
