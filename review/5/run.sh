#!/usr/bin/env bash
# One `side` machine is lost for good with the work unit that it runs, and the process of the leading placer is killed in the same second and
# comes back. Ten sound and idle executors are left, and the work unit isn't started again for more than 20 s.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../common.sh"

ENTRIES=(1 2 3)
start_store
desired_state 3 '[{"name":"sim","enforces_capacity":false}]' sim
for n in 1 2 3; do start_entry $n; done
for n in {1..11}; do start_agent $n; done
for n in {1..11}; do start_executor $n sim a; done
for n in 1 2 3; do wait_until 15 is_ready $n || cannot_run "front-$n is not ready"; done
sleep 4

JOB=00000000000000e1
TASK=$JOB.0.0.0
submit $JOB '{"spec":"{\"work_ms\":8000}","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":8000}]}'
has_started() { [ "$(starts_of $TASK)" -ge "$1" ]; }
wait_until 10 has_started 1 || cannot_run "the job was not started"
sleep 3
place=$(place_of $TASK)
leader=$(grep -l 'Became leader' "$RUN"/front-*.log | sed 's/.*front-\([0-9]\).log/\1/' | head -1)
if [ "$TROUBLE" != 0 ]; then
    end "executor-$place" KILL
    end "side-$place" KILL
    note "side-$place is lost for good with executor ${EXECUTOR_ID[$place]}"
    end "front-$leader" KILL
    note "front-$leader, the leading placer, is killed"
    sleep 1
    start_entry "$leader"
    note "front-$leader starts again"
fi
# The rule looks at accepted jobs finish_s (14 s) after the end of the traffic, and then for 3 s.
sleep 17
note "17 s after the loss: $(starts_of $TASK) starts"
sleep 3
state=$(state_of $JOB)
starts=$(starts_of $TASK)
note "verdict: 20 s after the loss the job is $state, $starts starts"
if [ "$TROUBLE" != 0 ]; then
    wait_until 25 has_started 2
    note "the second start: $(grep " starts $TASK run 2" "$RECORD" || echo none)"
fi
if [ "$state" = completed ]; then exit 0; fi
if [ "$starts" = 1 ]; then exit 1; fi
exit 0
