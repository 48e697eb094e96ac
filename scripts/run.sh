#!/usr/bin/env bash
# Runs the float keepers' deployment on loopback: the platform's stand-ins, 28
# backend servers and 7 entry VMs as separate processes; sends traffic through
# it, changes the rules under load, stops one entry VM gracefully and kills
# another. Prints what happened and ends every process that it started.
set -eu
cd "$(dirname "$0")/.."
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
[ -n "${KEEP_LOGS:-}" ] && trap "cp -r \"\$work\" \"\$KEEP_LOGS\"; cleanup" EXIT

# Starts a program in the background; its output goes to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2> "$work/$name.err" &
  pids+=($!)
  last_pid=$!
}
# Waits until the first line of a started program's output is there.
first_line() {
  for _ in $(seq 100); do
    [ -s "$work/$1.log" ] && { head -1 "$work/$1.log"; return 0; }
    sleep 0.05
  done
  echo "no output of $1" >&2
  return 1
}

start store "$standin" store 127.0.0.1:0
start vmlist "$standin" vmlist 127.0.0.1:0
store=127.0.0.1:$(first_line store)
vmlist=127.0.0.1:$(first_line vmlist)
# shellcheck disable=SC2207
ports=($("$standin" ports 4))

domains=(western-a western-a western-b central-a central-b southern-a southern-b)
vms=""
add_vm() { vms="$vms${vms:+,}{\"name\":\"$1\",\"address\":\"$2\",\"domain\":\"$3\",\"service\":\"$4\",\"role\":\"$5\",\"state\":\"live\"}"; }

backends=0
start_backends() { # service domain count
  for _ in $(seq "$3"); do
    backends=$((backends + 1))
    start "backend-$backends" "$standin" backend
    add_vm "$1-$backends" "$(first_line "backend-$backends")" "$2" "$1" backend
  done
}
for domain in western-a western-b central-a central-b; do start_backends bay-desk $domain 3; done
for domain in southern-a southern-b; do start_backends bay-desk $domain 2; done
for domain in western-a western-b central-a central-b southern-a southern-b; do start_backends float-register $domain 2; done

for i in "${!domains[@]}"; do
  add_vm "entry-$i" "127.0.0.$((11 + i)):${ports[0]}" "${domains[$i]}" "" entry
done
curl -sf -X PUT --data "[$vms]" "http://$vmlist/v1/vms"
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
vm-list = $vmlist
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
  start "node-$i" "$bin" node "$work/node-$i.ini"
  node_pids+=("$last_pid")
done
sleep 4
for i in 0 3 6; do
  curl -sS "http://127.0.0.$((11 + i)):${ports[0]}/v1/lookup?client=10.1.2.3"
  echo
  curl -s -i "http://127.0.0.$((11 + i)):${ports[0]}/v1/s/bay-desk/floats?work_ms=2" | head -8
done
