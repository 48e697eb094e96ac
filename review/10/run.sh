#!/usr/bin/env bash
exec bash "$(dirname "$0")/../harness-2/run.sh" "$(dirname "$0")"
