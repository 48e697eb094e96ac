#!/usr/bin/env bash
# Runs the history tests and then the soak of real processes, each over SEEDS
# seeds from FIRST on; faults are injected into the processes for LENGTH seconds a
# seed. A failing seed prints its violations and, for the processes, the faults
# and the folder with the logs.
set -eu
cd "$(dirname "$0")/.."
export HISTORY_SEEDS=${SEEDS:-50}
export HISTORY_FIRST=${FIRST:-1000}
build/release/tests/history_test --no-colors=true --no-version=true
mkdir -p build/soak
exec build/release/comfreystand-soak --program build/release/comfreystand --folder build/soak \
  --first "$HISTORY_FIRST" --seeds "$HISTORY_SEEDS" --length "${LENGTH:-8}"
