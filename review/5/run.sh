#!/usr/bin/env bash
# Case 5: model replicas hand out wrong bytes; gateways end by themselves. See claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the
# disturbance. Needs the build of deploy/system.toml and review/build-2.sh.
number=5
keeper_of=keep_running
source "$(dirname "$0")/../play_2.bash"

# What the processes wrote as they ended.
after_play() {
    local file
    for file in "$work"/*.err; do
        grep -hE 'what\(\)' "$file" | sed "s/^ */$(basename "$file" .err) wrote: /" >> "$record"
    done
}

play
