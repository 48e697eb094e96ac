#!/usr/bin/env bash
# Checks formatting of all sources and runs the linter over every translation
# unit that changed, or whose headers changed, since it last passed.
set -eu
cd "$(dirname "$0")/.."
sources() { git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.\(cc\|h\)$' | sort; }
sources | xargs -d '\n' ls 2> /dev/null | xargs clang-format-14 --dry-run --Werror
mkdir -p build/lint
root=$PWD
export root
# One line for each project file that an object was built from: source, file.
ninja -C build/release -t deps 2> /dev/null | awk -v root="$root/" '
  /^[^ ]/ { source = ""; next }
  /^ / {
    sub(/^ +/, "")
    if (index($0, root) == 1) $0 = substr($0, length(root) + 1)
    else if (substr($0, 1, 1) == "/") next
    sub(/^(\.\.\/)+/, "")
    if (source == "") source = $0
    print source, $0
  }' | sort -u > build/lint/deps
check_one() {
  local stamp
  stamp=build/lint/$( { cat .clang-tidy "$1"; awk -v s="$1" '$1 == s { print $2 }' build/lint/deps | xargs -r cat 2> /dev/null; } |
    sha256sum | cut -c1-40)
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
sources | grep '\.cc$' | grep -v '^fuzz/' | xargs -P "${COMFREYSTAND_JOBS:-$(nproc)}" -I{} bash -c 'check_one {}'
echo "lint: clean"
