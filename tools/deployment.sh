# Functions to start one deployment on loopback; sourced by tools/try and the tests of real processes.
# Needs BIN, the folder of the built programs, and RUN, a folder for settings files and logs.

PORT_BASE=${PORT_BASE:-17000}
OPERATOR_TOKEN=operator-token-1
ENTRY_1=http://127.0.0.1:$((PORT_BASE + 11))
ENTRY_2=http://127.0.0.1:$((PORT_BASE + 12))
PLATFORM=http://127.0.0.1:$((PORT_BASE + 1))
declare -A PID=()

start() { # start NAME PROGRAM ARGS...: runs a program in the background and keeps its process id
    local name=$1
    shift
    "$@" >"$RUN/$name.log" 2>&1 &
    PID[$name]=$!
}

stop_one() { # stop_one NAME: ends a process that start() started and returns its exit code
    local code=0
    kill -TERM "${PID[$1]}" 2>/dev/null || true
    wait "${PID[$1]}" || code=$?
    unset "PID[$1]"
    return $code
}

stop_all() {
    local name
    for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null || true; kill -TERM "${PID[$name]}" 2>/dev/null || true; done
    for name in "${!PID[@]}"; do wait "${PID[$name]}" 2>/dev/null || true; done
    PID=()
}

write_config() { # write_config NAME ROLE RPC_PORT HTTP_PORT RACK
    cat >"$RUN/$1.toml" <<CONFIG
role = "$2"
node = "$1"
rpc_address = "127.0.0.1:$3"
http_address = "127.0.0.1:$4"
entries = ["127.0.0.1:$((PORT_BASE + 21))", "127.0.0.1:$((PORT_BASE + 22))"]
operator_token = "$OPERATOR_TOKEN"
log_level = "info"

[place]
region = "vejle"
data_centre = "vejle-1"
rack = "$5"

[platform]
table_url = "$PLATFORM"
objects_url = "$PLATFORM"
table_calls_per_second = 60

[limits]
balancer_wait_ms = 100
CONFIG
}

start_entry() { # start_entry N
    write_config "entry-$1" entry $((PORT_BASE + 20 + $1)) $((PORT_BASE + 10 + $1)) ""
    start "entry-$1" "$BIN/src/waxwingloftd" --config="$RUN/entry-$1.toml"
}

start_backend() { # start_backend N KINDS: an agent and the backend server behind it
    write_config "agent-b$1" agent $((PORT_BASE + 30 + $1)) $((PORT_BASE + 40 + $1)) rack-b
    start "agent-b$1" "$BIN/src/waxwingloftd" --config="$RUN/agent-b$1.toml"
    start "backend-$1" "$BIN/standins/standin_backendserver" --listen="127.0.0.1:$((PORT_BASE + 50 + $1))" \
        --agent="http://127.0.0.1:$((PORT_BASE + 40 + $1))" --kinds="$2" --slots=8 --work_ms="${WORK_MS:-5}"
}

start_worker() { # start_worker N: an agent and the worker behind it
    write_config "agent-w$1" agent $((PORT_BASE + 60 + $1)) $((PORT_BASE + 70 + $1)) rack-w
    start "agent-w$1" "$BIN/src/waxwingloftd" --config="$RUN/agent-w$1.toml"
    start "worker-$1" "$BIN/standins/standin_worker" --listen="127.0.0.1:$((PORT_BASE + 80 + $1))" \
        --agent="http://127.0.0.1:$((PORT_BASE + 70 + $1))"
}

start_deployment() {
    start platform "$BIN/standins/standin_platform" --listen="127.0.0.1:$((PORT_BASE + 1))"
    start_entry 1
    start_entry 2
    local n kinds=colour-match,sticker-scan,ballast-screen,wear-forecast
    for n in 1 2; do start_backend $n $kinds; done
    for n in 1 2 3; do start_worker $n; done
}

cli() { # cli ARGS...: the command line tool, as operator and against entry 1 unless the arguments say otherwise
    WAXWINGLOFT_ENTRY=${ENTRY:-$ENTRY_1} WAXWINGLOFT_OPERATOR_TOKEN=$OPERATOR_TOKEN "$BIN/cli/waxwingloft" "$@"
}

wait_until() { # wait_until SECONDS COMMAND...: until the command succeeds; the bound is only for broken runs
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $until ]; then echo "gave up waiting for: $*" >&2; return 1; fi
        sleep 0.1
    done
}

members_up() { # members_up N: whether both entries know N members that are up
    local entry
    for entry in "$ENTRY_1" "$ENTRY_2"; do
        [ "$(ENTRY=$entry cli status --output=json | grep -o '"state":"up"' | wc -l)" -ge "$1" ] || return 1
    done
}

settings_at() { # settings_at VERSION: whether both entries have that version in force
    local entry
    for entry in "$ENTRY_1" "$ENTRY_2"; do
        [ "$(curl -s "$entry/metrics" | sed -n 's/^waxwingloft_settings_version //p')" = "$1" ] || return 1
    done
}
