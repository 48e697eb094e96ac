#!/usr/bin/env bash
# Starts the float keepers' deployment on loopback as separate processes:
# stand-ins for the platform's store and for 28 backend servers, and 7 entry VMs.
# To be sourced; kills every process that it started when the sourcing script
# exits.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=build/release/comfreystand
standin=build/release/comfreystand-standin
work=$(mktemp -d)
declare -a pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
# KEEP_LOGS=FOLDER keeps the output of every process.
[ -n "${KEEP_LOGS:-}" ] && trap "cp -r \"\$work\" \"\$KEEP_LOGS\"; cleanup" EXIT

# Starts a program in the background; its output goes to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2> "$work/$name.err" &
  pids+=($!)
  last_pid=$!
}
# Waits for the first line of a started program's output and prints it.
first_line() {
  for _ in $(seq 100); do
    [ -s "$work/$1.log" ] && { head -1 "$work/$1.log"; return 0; }
    sleep 0.05
  done
  echo "no output of $1" >&2
  return 1
}

start store "$standin" store 127.0.0.1:0
store=127.0.0.1:$(first_line store)
# shellcheck disable=SC2207
ports=($("$standin" ports 4))

domains=(western-a western-a western-b central-a central-b southern-a southern-b)
# Registrations in the store: of a backend server, and of an entry VM.
entries=""
add_entry() { entries="$entries${entries:+,}\"$1\":$2"; }
add_backend() { # name address domain service
  add_entry "servers/$1" "{\"service\":\"$4\",\"address\":\"$2\",\"zone\":\"$3\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}"
}
add_node() { # name address domain
  add_entry "nodes/$1" "{\"address\":\"$2\",\"domain\":\"$3\",\"region\":\"${3%-*}\"}"
}

backends=0
desk_backends=
start_backends() { # service domain count
  for _ in $(seq "$3"); do
    backends=$((backends + 1))
    start "backend-$backends" "$standin" backend
    [ "$1" = bay-desk ] && desk_backends="$desk_backends${desk_backends:+,}$(first_line "backend-$backends")"
    add_backend "$1-$backends" "$(first_line "backend-$backends")" "$2" "$1"
  done
}
for domain in western-a western-b central-a central-b; do start_backends bay-desk $domain 3; done
for domain in southern-a southern-b; do start_backends bay-desk $domain 2; done
for domain in western-a western-b central-a central-b southern-a southern-b; do start_backends float-register $domain 2; done

for i in "${!domains[@]}"; do
  add_node "entry-$i" "127.0.0.$((11 + i)):${ports[0]}" "${domains[$i]}"
done
curl -sf -X POST --data "{\"put\":{$entries}}" "http://$store/control"
"$bin" rules bootstrap examples/float-keepers.rules --store "$store" --requested-by operations

token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
seeds=$(for i in 0 3 5; do printf '127.0.0.%d:%s, ' $((11 + i)) "${ports[1]}"; done)
declare -a node_pids=()
for i in "${!domains[@]}"; do
  ip=127.0.0.$((11 + i))
  cat > "$work/node-$i.ini" << INI
[node]
id = $i
name = entry-$i
cluster = float-keepers
region = ${domains[$i]%-*}
domain = ${domains[$i]}
site = ${domains[$i]}
[listen]
edge = $ip:${ports[0]}
peer = $ip:${ports[1]}
admin = $ip:${ports[2]}
metrics = $ip:${ports[3]}
[platform]
store = $store
[peers]
seed = ${seeds%, }
[admin]
token.operations = sha256:$token_hash
[limits]
answer-ttl = 2s
answer-ttl-in-change = 1s
[log]
format = json
INI
done

# Starts the process of an entry VM.
start_node() {
  start "node-$1" "$bin" node "$work/node-$1.ini"
  node_pids[$1]=$last_pid
}
for i in "${!domains[@]}"; do start_node "$i"; done

export COMFREYSTAND_TOKEN=$token
edge_of() { echo "127.0.0.$((11 + $1)):${ports[0]}"; }
admin_of() { echo "127.0.0.$((11 + $1)):${ports[2]}"; }
# Value of the first member named $2 in a JSON file with one member a line.
field() { sed -n "s/^ *\"$2\": *\"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}$/\1/p" "$1" | head -1; }
# The member named $2 of a class's latencies.
latency() { sed -n "/\"short\": {/,/}/s/^ *\"$2\": *\([0-9.]*\),\{0,1\}$/\1/p" "$1"; }
now_ms() { date +%s%3N; }
all_entry_vms=$(for i in "${!domains[@]}"; do edge_of "$i"; done | paste -sd, -)
entry_vms() { for i in "$@"; do edge_of "$i"; done | paste -sd, -; }

# Waits until every node listed shows a rule version of at least $1.
await_version() {
  local version=$1 i
  shift
  for i in "$@"; do
    for _ in $(seq 180); do
      [ "$(curl -sf "http://127.0.0.$((11 + i)):${ports[3]}/metrics" |
        sed -n 's/^comfreystand_rules_version \([0-9]*\).*/\1/p')" -ge "$version" ] 2> /dev/null && continue 2
      sleep 0.05
    done
    echo "entry-$i did not reach version $version" >&2
    return 1
  done
}
# Waits until every entry VM answers look-ups with at least three sites.
await_view() {
  local i
  for i in "${!domains[@]}"; do
    for _ in $(seq 200); do
      [ "$("$bin" lookup --entry-vm "$(edge_of "$i")" --client 10.1.2.3 2> /dev/null |
        grep -o '"site"' | wc -l)" -ge 3 ] && continue 2
      sleep 0.05
    done
    echo "entry-$i lists too few sites" >&2
    return 1
  done
}
# Runs one load. The seed is part of the operation ids, so each load needs its own.
load() { # file seconds entry-vms seed
  "$bin" load --entry-vm "$3" --service bay-desk --rate 300 --seconds "$2" --lookups 0.3 \
    --idempotent 0.7 --tickets yes --class short:90:2,report:2:150,book:8:4 \
    --deadline-ms 3000 --seed "$4" --backends "$desk_backends" --json > "$work/$1.json" 2> "$work/$1.err" || true
}

load_header() {
  printf '\n%-34s %6s %8s %8s %9s %9s %9s %9s\n' load sent answered no-answer truncated \
    dup-runs false-nr mixed
}
row() { # title file
  printf '%-34s %6s %8s %8s %9s %9s %9s %9s\n' "$1" "$(field "$work/$2.json" sent)" \
    "$(field "$work/$2.json" answered)" "$(field "$work/$2.json" unanswered)" \
    "$(field "$work/$2.json" truncated)" "$(field "$work/$2.json" duplicate_runs)" \
    "$(field "$work/$2.json" false_not_run)" "$(field "$work/$2.json" mixed_answers)"
}
# Fails if one of the loads has a duplicate run, a false "not run", a mixed or a
# truncated answer, or no answer at all.
check_loads() {
  local run check bad=0
  for run in "$@"; do
    for check in duplicate_runs false_not_run mixed_answers truncated; do
      [ "$(field "$work/$run.json" "$check")" = 0 ] || bad=1
    done
    [ "$(field "$work/$run.json" answered)" -gt 0 ] || bad=1
  done
  return "$bad"
}
