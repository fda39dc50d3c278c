# Shared by the scripts of cases 5 and 6: starts the stand-ins and the gateways, restarts gateways that have ended, and
# ends all that it started. A script sets `number` and `keeper_of`, then calls `play`.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
gateway=target/bin/vg-gateway # as in deploy/system.toml
player=target/review-2/case-$number
record=review/$number/record.txt
restart_delay=0.5
keepers=()
world=

end_all() {
    touch "$work/over"
    [[ -z $world ]] || kill -KILL "$world" 2> /dev/null
    ((${#keepers[@]} == 0)) || kill -TERM "${keepers[@]}" 2> /dev/null
    wait 2> /dev/null
    [[ -z ${KEEP:-} ]] || { mkdir -p "$KEEP" && cp -r "$work/." "$KEEP/"; }
    rm -rf "$work"
}

start_gateway() { # NAME
    "$gateway" --settings "$work/$1.json" >> "$work/$1.log" 2>> "$work/$1.err" &
    echo $! > "$work/$1.pid"
}

# The platform restarts a process that has ended, after a short delay. A TERM ends the gateway with its keeper.
keep_running() { # NAME
    trap 'kill -KILL $! 2> /dev/null; exit 0' TERM
    local code
    while [[ ! -e $work/over ]]; do
        start_gateway "$1"
        wait $!
        code=$?
        [[ -e $work/over ]] || echo "$1 ended with $code" >> "$work/ends"
        sleep "$restart_delay"
    done
}

# Runs the case; `watch_play`, if the script has one, is called until the stand-ins have ended.
play() {
    local tenths code name
    if [[ ! -x $gateway || ! -x $player ]]; then
        echo "expected $gateway and $player to be built" >&2
        exit 2
    fi
    work=$(mktemp -d)
    trap end_all EXIT
    "$player" "$work" "$record" "${TROUBLE:-1}" > "$work/world.out" 2> "$work/world.err" &
    world=$!
    for ((tenths = 0; tenths < 100; ++tenths)); do
        grep -qs ready "$work/world.out" && break
        sleep 0.1
    done
    if ! grep -qs ready "$work/world.out"; then
        cat "$work/world.err" >&2
        exit 2
    fi
    while read -r name; do
        "$keeper_of" "$name" 2> /dev/null &
        keepers+=($!)
    done < "$work/names"
    while kill -0 "$world" 2> /dev/null; do
        if declare -F watch_play > /dev/null; then
            watch_play
        fi
        sleep 0.02
    done
    wait "$world"
    code=$?
    world=
    if declare -F after_play > /dev/null; then
        after_play
    fi
    tail -n 15 "$record"
    exit "$code"
}
