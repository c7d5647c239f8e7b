#!/usr/bin/env bash
# A `front` process freezes for 3.5 s with a submission in its socket. The requester leaves after its time-out and cancels the job at another
# node, which acknowledges that. After the freeze the submission is accepted all the same, and its work unit runs to its end.
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

# The frozen process is not the leading placer.
frozen=1
if grep -q 'Became leader' "$RUN/front-1.log"; then frozen=2; fi
JOB=00000000000000f1
BODY='{"spec":"{\"work_ms\":40000}","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":40000}]}'
if [ "$TROUBLE" != 0 ]; then
    note "front-$frozen freezes"
    kill -STOP "${PID[front-$frozen]}"
    thaw=$(($(date +%s%3N) + 3400))
fi
answer=$(curl -s -m 1 -w ' %{http_code}' -H "Host: $HOST" -H "Api-Key: $KEY" -H 'Content-Type: application/json' -H 'Waxwingloft-Timeout-Ms: 1000' \
    --data "$BODY" "http://$NET.$frozen:$FRONT_PORT$PREFIX$JOB")
note "POST $JOB at front-$frozen -> $answer (000: no answer in 1,000 ms; the requester leaves)"
ENTRIES=($((frozen + 1)))
answer=$(call DELETE "$JOB")
note "DELETE $JOB at front-${ENTRIES[0]} -> $answer"
case ${answer##* } in 200 | 410) ;; *) cannot_run "the cancelling was not acknowledged" ;; esac
if [ "$TROUBLE" != 0 ]; then
    sleep "$(awk "BEGIN { print ($thaw - $(date +%s%3N)) / 1000 }")"
    kill -CONT "${PID[front-$frozen]}"
    note "front-$frozen wakes up"
fi
# contact_ms (4 s) after the freeze all is calm; cancel_ms + stop_ms (3.9 s) later a work unit of a cancelled job has to be gone.
sleep 16
ENTRIES=(1 2 3)
state=$(state_of $JOB)
starts=$(starts_of "$JOB.0.0.0")
ends=$(ends_of "$JOB.0.0.0" .)
note "verdict: 16 s after the freeze the job is $state, $starts starts, $ends ends"
if [ "$starts" -gt "$ends" ]; then exit 1; fi
exit 0
