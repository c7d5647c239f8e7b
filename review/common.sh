# Functions of the review's scripts; sourced by run.sh with HERE, the folder of the case, set.
# Starts the processes of one small deployment on loopback addresses of its own and records what is sent, answered and run.

cd "$HERE/../.."
BIN=$PWD/target/src/waxwingloftd
STANDINS=$PWD/target/review
RECORD=$HERE/record.txt
RUN=$(mktemp -d)
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
FRONT_PORT=8521
READY_PORT=8523
CONTROL_PORT=8526
APP_PORT=8080
STORE=$NET.250:8524
HOST=queue.example
PREFIX=/queue/
KEY=key-1
TROUBLE=${TROUBLE:-1}
declare -A PID=()
: >"$RECORD"

note() { echo "$(date +%s%3N) script $*" >>"$RECORD"; }

cannot_run() {
    note "the case could not run: $*"
    echo "the case could not run: $*" >&2
    exit 2
}

finish() { # ends all processes that the script started
    local name
    for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null; kill -KILL "${PID[$name]}" 2>/dev/null; done
    for name in "${!PID[@]}"; do wait "${PID[$name]}" 2>/dev/null; done
    if [ -n "${KEEP:-}" ]; then cp -r "$RUN" "$KEEP"; fi
    rm -rf "$RUN"
}
trap finish EXIT
trap 'exit 2' TERM INT

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID[$name]=$!
}

end() { # end NAME SIGNAL: sends the signal and waits for the process to end
    kill "-$2" "${PID[$1]}"
    wait "${PID[$1]}" 2>/dev/null
    unset "PID[$1]"
}

settings() { # settings TEMPLATE NAME IP: fills in the template of the deploy file as the platform does
    sed -e "s/{{node_name}}/$2/" -e "s/{{ip}}/$3/g" -e 's/{{port_range.0}}/7000/' -e 's/{{port_range.1}}/7001/' -e 's/{{region}}/region-a/' \
        -e 's/{{zone}}/zone-a/' -e "s/{{platform.address}}/$STORE/" -e "s/{{listen.control}}/$3:$CONTROL_PORT/" \
        -e "s/{{listen.front}}/$3:$FRONT_PORT/" -e "s/{{listen.ready}}/$3:$READY_PORT/" -e "s/{{app}}/$3:$APP_PORT/" \
        -e 's/{{bounds.hold_max_ms}}/6000/' -e 's/{{platform.writes_per_s}}/800/' "$1"
}

start_entry() { # start_entry N
    settings deploy/entry.toml "front-$1" "$NET.$1" >"$RUN/front-$1.toml"
    start "front-$1" env WAXWINGLOFT_CONFIG="$RUN/front-$1.toml" "$BIN"
}

start_agent() { # start_agent N
    settings deploy/agent.toml "side-$1" "$NET.$((100 + $1))" >"$RUN/side-$1.toml"
    start "side-$1" env WAXWINGLOFT_CONFIG="$RUN/side-$1.toml" "$BIN"
}

LIFE=0
start_executor() { # start_executor N SERVICE KIND [JSON]: a new life of the executor beside agent N; JSON has further options, such as "gpu":4
    LIFE=$((LIFE + 1))
    EXECUTOR_ID[$1]=i-$1-$LIFE
    start "executor-$1" "$STANDINS/executor" "{\"id\":\"i-$1-$LIFE\",\"address\":\"$NET.$((100 + $1)):$APP_PORT\",\"control\":\"$NET.$((100 + $1)):$CONTROL_PORT\",\
\"service\":\"$2\",\"zone\":\"zone-a\",\"labels\":[\"$3\",\"r1-$1\"],\"record\":\"$RECORD\"${4:+,$4}}"
}
declare -A EXECUTOR_ID=()

start_store() {
    start store "$STANDINS/store" "$NET.250" 8524 "$RECORD"
    wait_until 5 curl -sf -o /dev/null --data '' "http://$STORE/control?mode=up" || cannot_run "the store does not answer"
}

desired_state() { # desired_state VERSION SERVICES-JSON SERVICE [MAX_ATTEMPTS]: the one queue is run by the service
    echo "{\"version\":$1,\"routes\":[{\"name\":\"queue\",\"host\":\"$HOST\",\"path_prefix\":\"$PREFIX\",\"service\":\"$3\",\"priority\":1,\
\"max_attempts\":${4:-4},\"stretch\":3.0,\"target_latency_ms\":1200,\"timeout_ms\":3000}],\"services\":$2,\
\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"$KEY\"],\"guaranteed\":{\"gpu\":0}}],\"limits\":{\"max_body_bytes\":262144}}" >"$RUN/config.json"
    note "the operator sends $(cat "$RUN/config.json")"
    base64 -w0 "$RUN/config.json" | curl -sf -o /dev/null --data-binary @- "http://$STORE/control/put?table=op&key=config" || cannot_run "the desired state was not taken"
}

wait_until() { # wait_until SECONDS COMMAND...
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $until ]; then return 1; fi
        sleep 0.1
    done
}

is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$NET.$1:$READY_PORT/waxwingloft/readyz")" = 200 ]; }

call() { # call METHOD ID [BODY]: asks each entry in turn until one answers, as the platform's entry does; prints status and body
    local entry answer
    for entry in "${ENTRIES[@]}"; do
        is_ready "$entry" || continue
        answer=$(curl -s -m 5 -w ' %{http_code}' -X "$1" -H "Host: $HOST" -H "Api-Key: $KEY" -H 'Content-Type: application/json' -H 'Waxwingloft-Timeout-Ms: 3000' \
            ${3:+--data "$3"} "http://$NET.$entry:$FRONT_PORT$PREFIX$2")
        if [ "${answer##* }" != 000 ]; then
            echo "$answer"
            return
        fi
    done
    echo "no answer 000"
}

submit() { # submit ID BODY: sends the job until it is accepted, and records each answer
    local answer try
    for try in 1 2 3 4 5; do
        answer=$(call POST "$1" "$2")
        note "POST $1 ${2:0:300} -> $answer"
        if [ "${answer##* }" = 200 ]; then return; fi
        sleep 1
    done
    cannot_run "job $1 was not accepted: $answer"
}

state_of() { # state_of ID: prints the state that a caller is shown, and records the answer
    local answer
    answer=$(call GET "$1")
    note "GET $1 -> $answer"
    sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' <<<"$answer"
}

has_state() { [ "$(state_of "$1")" = "$2" ]; }
starts_of() { grep -c "^[0-9]* executor [^ ]* starts $1 run" "$RECORD"; }
ends_of() { grep -c "^[0-9]* executor [^ ]* ends $1 run [0-9]* $2" "$RECORD"; }
place_of() { # place_of TASK: prints the number of the executor that started the task last
    sed -n "s/^[0-9]* executor i-\([0-9]*\)-[0-9]* starts $1 run.*/\1/p" "$RECORD" | tail -1
}
