#!/usr/bin/env bash
# Runs the program of one case. Arguments: the case's folder. TROUBLE=0 leaves
# the disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run.
set -u
case_folder=$(cd "$1" && pwd)
CASE_ROOT=$(cd "$case_folder/../.." && pwd)
program=$CASE_ROOT/build/review-2/case-$(basename "$case_folder")
if [ ! -x "$program" ] || [ ! -x "$CASE_ROOT/target/comfreystand" ]; then
  echo "missing: $program or target/comfreystand" >&2
  exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
CASE_RECORD=$case_folder/record.txt
export CASE_ROOT CASE_FOLDER CASE_RECORD
cd "$CASE_ROOT" || exit 2
timeout 115 "$program"
status=$?
rm -rf "$CASE_FOLDER"
[ "$status" -le 1 ] && exit "$status"
exit 2
