#!/usr/bin/env bash
# One of 11 executors fails what it starts for 6 s. A job that needs its kind fails there once and is never started again.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../common.sh"

ENTRIES=(1 2 3)
start_store
desired_state 3 '[{"name":"sim","enforces_capacity":false}]' sim
for n in 1 2 3; do start_entry $n; done
for n in {1..11}; do start_agent $n; done
for n in {1..10}; do start_executor $n sim a; done
start_executor 11 sim b
for n in 1 2 3; do wait_until 15 is_ready $n || cannot_run "front-$n is not ready"; done
sleep 4

JOB=00000000000000b1
if [ "$TROUBLE" != 0 ]; then kill -USR1 "${PID[executor-11]}"; fi
sleep 0.5
BODY='{"spec":"{\"work_ms\":2000}","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":2000,"requires":"b"}]}'
submit $JOB "$BODY"
sleep 5.5
if [ "$TROUBLE" != 0 ]; then kill -USR2 "${PID[executor-11]}"; fi
note "calm from here on"
# A second job of the same shape shows that the executor has room and is sound.
SECOND=00000000000000b2
submit $SECOND "$BODY"
# The rule looks at accepted jobs finish_s (14 s) after the end of the traffic, and then for 3 s.
sleep 15
before=$(starts_of "$JOB.0.0.0")
sleep 4
state=$(state_of $JOB)
after=$(starts_of "$JOB.0.0.0")
note "verdict: state $state, $after starts, $(ends_of "$JOB.0.0.0" failed) failed ends of 4 attempts; the second job is $(state_of $SECOND)"
if [ "$state" = completed ]; then exit 0; fi
if [ "$before" = "$after" ] && [ "$(ends_of "$JOB.0.0.0" .)" = "$after" ]; then exit 1; fi
cannot_run "the job is still at work"
