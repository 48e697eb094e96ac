#!/usr/bin/env bash
# Runs the deployment of scripts/deployment.sh through faults of real processes:
# an outage of the platform's store, a lost response of the store, a paused entry
# VM (SIGSTOP), and the graceful replacement of all 7 entry VMs one after another.
# All but the lost response happen under load.
source "$(dirname "$0")/deployment.sh"

bad=0
expect() { # title command...
  local title=$1
  shift
  if "$@"; then echo "ok      $title"; else echo "FAILED  $title"; bad=1; fi
}
control() { curl -sf -X POST --data "$1" "http://$store/control"; }
propose() { # comment, exit code expected
  { cat examples/float-keepers.rules; echo "# $1"; } > "$work/next.rules"
  local code=0
  "$bin" rules propose "$work/next.rules" --admin "$(admin_of 0)" --by operations \
    > "$work/propose.out" 2>&1 || code=$?
  [ "$code" = "$2" ]
}
loads=()
start_load() { # name seconds entry-vms
  loads+=("$1")
  load "$1" "$2" "$3" "${#loads[@]}" &
  load_pid=$!
}

await_version 1 0 1 2 3 4 5 6
await_view

start_load outage 4 "$all_entry_vms"
control '{"outage": true}'
expect "a proposal in an outage is told unavailable" propose first 5
control '{"outage": false}'
wait "$load_pid"
control '{"lost_answers": 1}'
expect "a proposal whose answer is lost is resolved to accepted" propose second 0
expect "and is in force on all 7" await_version 2 0 1 2 3 4 5 6

start_load frozen 9 "$(entry_vms 0 1 3 4 5 6)"
kill -STOP "${node_pids[2]}"
sleep 1
expect "a proposal beside a frozen entry VM is accepted" propose third 0
expect "and is in force on the others" await_version 3 0 1 3 4 5 6
wait "$load_pid"
kill -CONT "${node_pids[2]}"
expect "and on the frozen one once it wakes" await_version 3 2

for i in "${!domains[@]}"; do
  start_load "replace-$i" 3 "$all_entry_vms"
  sleep 0.5
  kill -TERM "${node_pids[$i]}"
  wait "$load_pid"
  for _ in $(seq 400); do
    kill -0 "${node_pids[$i]}" 2> /dev/null || break
    sleep 0.05
  done
  start_node "$i"
  await_version 3 "$i" || bad=1
done
expect "all 7 entry VMs were replaced and list each other" await_view

load_header
for name in "${loads[@]}"; do
  row "$name" "$name"
  [ "$(field "$work/$name.json" unanswered)" = 0 ] || bad=1
done
expect "no request was cut, run twice, mixed or falsely told not run" check_loads "${loads[@]}"
[ "$bad" = 0 ] && echo "faults: ok" || echo "faults: a promise was broken"
exit "$bad"
