#!/usr/bin/env bash
# Checks formatting of all sources and runs the linter over every translation
# unit whose inputs changed since it last passed.
set -eu
cd "$(dirname "$0")/.."
sources() { git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.\(cc\|h\)$'; }
sources | xargs clang-format-14 --dry-run --Werror
mkdir -p build/lint
headers=$( { sources | grep '\.h$'; echo .clang-tidy; } | sort | xargs cat | sha256sum | cut -c1-16)
export headers
check_one() {
  local stamp
  stamp=build/lint/$( { echo "$headers $1"; cat "$1"; } | sha256sum | cut -c1-32)
  [ -e "$stamp" ] && return 0
  if clang-tidy-14 --quiet -p build/release "$1" > "$stamp.out" 2> "$stamp.err"; then
    touch "$stamp"
  else
    cat "$stamp.out"
    grep -E 'error:' "$stamp.err" || true
    return 1
  fi
}
export -f check_one
sources | grep '\.cc$' | xargs -P "${COMFREYSTAND_JOBS:-$(nproc)}" -I{} bash -c 'check_one {}'
echo "lint: clean"
