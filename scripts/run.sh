#!/usr/bin/env bash
# Runs the deployment of scripts/deployment.sh: sends traffic through it, changes
# the rules under load, stops one entry VM gracefully and kills another. Prints
# what happened.
source "$(dirname "$0")/deployment.sh"

started=$(now_ms)
await_version 1 0 1 2 3 4 5 6
await_view
joined=$(($(now_ms) - started))

load quiet 4 "$all_entry_vms" 1

# A rule change under load: southern-a is drained.
load change 6 "$all_entry_vms" 2 &
load_pid=$!
sleep 1
{ cat examples/float-keepers.rules; echo 'drain site southern-a # asked by coast yard: power work'; } > "$work/new.rules"
proposed=$(now_ms)
"$bin" rules propose "$work/new.rules" --admin "$(admin_of 0)" --by "coast yard" --expected 1 > "$work/propose.out"
await_version 2 0 1 2 3 4 5 6
in_force=$(($(now_ms) - proposed))
wait "$load_pid"

# One entry VM stops gracefully while callers use it; another is killed while
# callers use the rest.
load stop 8 "$all_entry_vms" 3 &
load_pid=$!
sleep 1
stopping=$(now_ms)
kill -TERM "${node_pids[3]}"
(while kill -0 "${node_pids[3]}" 2> /dev/null; do sleep 0.05; done; now_ms > "$work/stopped") &
watch_pid=$!
wait "$load_pid"
load kill 4 "$(entry_vms 0 1 2 5 6)" 4 &
load_pid=$!
sleep 1
kill -KILL "${node_pids[4]}"
wait "$load_pid"
wait "$watch_pid"
graceful=$(($(cat "$work/stopped") - stopping))
"$bin" status --admin "$(admin_of 0)" > "$work/status.out"
"$bin" rules history --admin "$(admin_of 0)" > "$work/history.out"

load_header
row "7 entry VMs" quiet
row "rule change under load" change
row "graceful stop of entry-3" stop
row "kill of entry-4, others used" kill
printf '\n'
printf '%-34s %s ms\n' "all entry VMs joined after" "$joined"
printf '%-34s %s\n' "rule change" "$(cat "$work/propose.out")"
printf '%-34s %s ms\n' "in force on all 7 after" "$in_force"
printf '%-34s %s ms\n' "graceful stop took" "$graceful"
for run in quiet change stop; do
  printf '%-34s p50 %s ms, p99 %s ms, max %s ms\n' "short requests, $run" \
    "$(latency "$work/$run.json" p50_ms)" "$(latency "$work/$run.json" p99_ms)" \
    "$(latency "$work/$run.json" max_ms)"
done
bad=0
check_loads quiet change stop kill || bad=1
[ "$(field "$work/stop.json" unanswered)" = 0 ] || bad=1
[ "$bad" = 0 ] && echo "run: ok" || echo "run: a promise was broken"
exit "$bad"
