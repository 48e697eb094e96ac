#!/usr/bin/env bash
# Runs the history tests over many seeds: SEEDS per process, from FIRST on.
# A failing seed prints the command that replays it.
set -eu
cd "$(dirname "$0")/.."
export HISTORY_SEEDS=${SEEDS:-50}
export HISTORY_FIRST=${FIRST:-1000}
exec build/release/tests/history_test --no-colors=true --no-version=true
