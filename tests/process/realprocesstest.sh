#!/usr/bin/env bash
# Faults on real processes over loopback, with real signals. Steps are ordered by what is observed.
# Usage: realprocesstest.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
RUN=$(mktemp -d)
# Several runs on one host at a time must not share ports.
for PORT_BASE in $(seq 17400 100 27300); do
    exec {PORT_LOCK}>"${TMPDIR:-/tmp}/waxwingloft-ports-$PORT_BASE.lock"
    if flock -n "$PORT_LOCK"; then break; fi
    exec {PORT_LOCK}>&-
done
WORK_MS=1500
. tools/deployment.sh
trap 'stop_all; rm -rf "$RUN"' EXIT

failures=0
check() { # check NAME COMMAND...: the command must succeed
    local name=$1
    shift
    if "$@" >"$RUN/out" 2>&1; then echo "ok      $name"; else
        echo "FAILED  $name"
        cat "$RUN/out"
        failures=$((failures + 1))
    fi
}
as() { local token=$1; shift; WAXWINGLOFT_TOKEN=$token cli "$@"; }
runs_of() { # runs_of BODY: prints how often the backend servers ran a body
    local n total=0 count
    for n in 1 2; do
        count=$(curl -s "http://127.0.0.1:$((PORT_BASE + 50 + n))/v1/runs" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
        total=$((total + ${count:-0}))
    done
    echo $total
}
has_run() { [ "$(runs_of "$1")" -ge 1 ]; }
ran_once() { [ "$(runs_of "$1")" -eq 1 ]; }
server_of() { # server_of BODY: prints which backend server is running a body
    local n
    for n in 1 2; do curl -s "http://127.0.0.1:$((PORT_BASE + 50 + n))/v1/runs" | grep -q "\"$1\":" && echo $n; done || true
}
job_state() { as "$1" job show "$2" --output=json | grep -q "\"state\": \"$3\""; }
head_of() { as "$1" job show "$2" --output=json | sed -n 's/.*"\(agent-w[0-9]\)".*/\1/p' | head -1; }
control() { curl -sf -X POST "$PLATFORM/control" -d "{\"mode\":\"$1\"}"; }
code_of() { # code_of COMMAND...: prints the exit code
    local code=0
    "$@" >/dev/null 2>&1 || code=$?
    echo $code
}
exits_with() { local want=$1; shift; [ "$(code_of "$@")" = "$want" ]; }

start_deployment
wait_until 30 members_up 5
cli settings import etc/kubevaerk.toml >/dev/null
cli settings import etc/suryakiran.toml >/dev/null
wait_until 10 settings_at 2

# An agent is killed while it runs a request that must run at most once.
as technicians-token-1 call wear-forecast lamp-k --request=lamp-k >"$RUN/killed" 2>&1 &
caller=$!
wait_until 10 has_run lamp-k
victim=$(server_of lamp-k)
kill -KILL "${PID[agent-b$victim]}"
code=0
wait $caller || code=$?
check "caller of a killed agent is told unknown" [ $code -eq 5 ]
start "agent-b$victim" "$BIN/src/waxwingloftd" --config="$RUN/agent-b$victim.toml"
check "its retry through the other entry is not run again" env ENTRY="$ENTRY_2" bash -c "$(declare -f cli as code_of exits_with); BIN=$BIN OPERATOR_TOKEN=x ENTRY=$ENTRY_2; exits_with 5 as technicians-token-1 call wear-forecast lamp-k --request=lamp-k --deadline_ms=3000"
check "it ran once" ran_once lamp-k
wait_until 20 members_up 5

# An agent leaves gracefully while it runs a request.
as drejeled-token-1 call colour-match cube-g >"$RUN/graceful" 2>&1 &
caller=$!
wait_until 10 has_run cube-g
leaver=$(server_of cube-g)
check "a leaving agent ends with nothing cut off" stop_one "agent-b$leaver"
code=0
wait $caller || code=$?
check "the caller of a leaving agent gets its whole answer" grep -q '"echo":"cube-g"' "$RUN/graceful"
start "agent-b$leaver" "$BIN/src/waxwingloftd" --config="$RUN/agent-b$leaver.toml"
wait_until 20 members_up 5

# The head of a gang is killed: the gang stops and, being idempotent, runs again whole.
job=$(as technicians-token-1 job submit drift-fit --tasks=2 --accelerators=8 --processors=8 --memory_gb=8 --adjacency=rack --payload='{"run_ms":4000}')
wait_until 20 job_state technicians-token-1 "$job" placed
head=$(head_of technicians-token-1 "$job")
kill -KILL "${PID[$head]}"
start "$head" "$BIN/src/waxwingloftd" --config="$RUN/$head.toml"
check "a gang whose head was killed ends done" as technicians-token-1 job wait "$job" --timeout_s=60
wait_until 20 members_up 5

# The placer stands still past its lease: the other entry takes over, and the first does no harm when it goes on.
placer=$(cli status --output=json | sed -n 's/.*"placer":"\(entry-[0-9]\)".*/\1/p')
other=$ENTRY_1
[ "$placer" = entry-1 ] && other=$ENTRY_2
kill -STOP "${PID[$placer]}"
job=$(ENTRY=$other as drejeled-token-1 job submit tolerance-simulation --accelerators=8 --processors=8 --memory_gb=8 --payload='{"run_ms":500}')
ENTRY=$other
check "a job is placed by the successor" as drejeled-token-1 job wait "$job" --timeout_s=60
kill -CONT "${PID[$placer]}"
ENTRY=$ENTRY_1
wait_until 20 members_up 5
job=$(as drejeled-token-1 job submit tolerance-simulation --accelerators=8 --processors=8 --memory_gb=8 --payload='{"run_ms":500}')
check "jobs go on after the first placer went on" as drejeled-token-1 job wait "$job" --timeout_s=60

# The table service is down, then loses answers.
control down
check "idempotent calls go on without the table" as drejeled-token-1 call colour-match cube-d
check "a call that must run once is refused without the table" exits_with 3 as technicians-token-1 call wear-forecast lamp-d
check "a job is refused without the table" exits_with 3 as drejeled-token-1 job submit tolerance-simulation --accelerators=1
control up
up_again() { [ "$(curl -s "$ENTRY_1/metrics" | sed -n 's/^waxwingloft_table_down //p')" = 0 ]; }
wait_until 20 up_again
check "a call that must run once runs when the table is back" as technicians-token-1 call wear-forecast lamp-u
control lose-answers
check "a call that must run once runs once when commits lose their answers" as technicians-token-1 call wear-forecast lamp-l --request=lamp-l
control up
check "it ran once" ran_once lamp-l

[ $failures -eq 0 ]
