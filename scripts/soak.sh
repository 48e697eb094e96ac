#!/usr/bin/env bash
# Soaks: SEEDS seeds from FIRST on. First the history tests, over as many seeds,
# then real processes with faults from outside them for LENGTH seconds a seed. A
# failing seed prints what was broken and, for the processes, the faults and
# where the logs are.
set -eu
cd "$(dirname "$0")/.."
export HISTORY_SEEDS=${SEEDS:-50}
export HISTORY_FIRST=${FIRST:-1000}
build/release/tests/history_test --no-colors=true --no-version=true
mkdir -p build/soak
exec build/release/comfreystand-soak --program build/release/comfreystand --folder build/soak \
  --first "$HISTORY_FIRST" --seeds "$HISTORY_SEEDS" --length "${LENGTH:-8}"
