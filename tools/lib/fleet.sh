# Starts the programs and stand-ins of one example on loopback. Sourced by tools/demo and the end-to-end tests.
# Needs: bin (folder of the binaries) and work (a scratch folder). Every program is stopped on exit.

declare -A address   # NAME.FIELD -> address from the ready line
declare -A pid       # NAME -> process id
readonly ready_tries=200

# start NAME PROGRAM ARGS...: starts it and waits for its ready line.
start() {
    local name=$1 program=$2 tries=0 field
    shift 2
    : > "$work/$name.out"
    "$bin/$program" "$@" >> "$work/$name.out" 2>> "$work/$name.log" &
    pid[$name]=$!
    until grep -q '"ready":true' "$work/$name.out"; do
        if ((++tries > ready_tries)) || ! kill -0 "${pid[$name]}" 2> /dev/null; then
            echo "$name did not come up:" >&2
            tail -5 "$work/$name.log" >&2
            return 1
        fi
        sleep 0.05
    done
    for field in http_address peer_address operator_address; do
        address[$name.$field]=$(jq -r "select(.ready) | .$field // empty" "$work/$name.out" | tail -1)
    done
}

# stop NAME [SIGNAL]
stop() {
    kill "-${2:-TERM}" "${pid[$1]}" 2> /dev/null || true
}

stop_all() {
    local name
    for name in "${!pid[@]}"; do
        kill -KILL "${pid[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
}

readonly caller_token=caller-token trainer_token=trainer-token operator_token=operator-token peer_token=peer-token

# write_settings VM DOMAIN KEEPER_ADDRESS SEEDS_JSON: the settings file of one VM.
write_settings() {
    jq -n --arg vm "$1" --arg domain "$2" --arg keeper "$3" --argjson seeds "$4" \
        --arg platform "${address[platform.http_address]}" --arg spans "$work/spans.jsonl" \
        --argjson drain "${drain_time_ms:-2000}" \
        '{vm: $vm, failure_domain: $domain, platform: $platform, http_threads: 4, span_file: $spans,
          drain_time_ms: $drain,
          tokens: {caller: "caller-token", trainer: "trainer-token", operator: "operator-token", peer: "peer-token"},
          keeper: {address: $keeper, peer_listen: $keeper, seeds: $seeds}}' > "$work/$1.json"
}

# start_node VM DOMAIN: keeper, entry and rollout of one VM. The first node is the seed of the others.
seeds='[]'
start_node() {
    local vm=$1 domain=$2
    write_settings "$vm" "$domain" "127.0.0.1:0" "$seeds"
    start "$vm.keeper" vg-keeper --settings "$work/$vm.json"
    local keeper=${address[$vm.keeper.peer_address]}
    seeds=$(jq -c --arg keeper "$keeper" '(. + [$keeper])[:3]' <<< "$seeds")
    write_settings "$vm" "$domain" "$keeper" "$seeds"
    start "$vm.entry" vg-entry --settings "$work/$vm.json"
    start "$vm.rollout" vg-rollout --settings "$work/$vm.json"
}

# start_deployment FLEET_FILE PLACE: its stand-in targets; writes the operator's object for vgctl.
start_deployment() {
    local spec name kind replicas place domain
    spec=$(jq -c ".deployments[$2]" "$1")
    name=$(jq -r .name <<< "$spec")
    kind=$(jq -r .kind <<< "$spec")
    replicas=$(jq -r .replicas <<< "$spec")
    local targets='[]' fencing=()
    [[ $(jq -r .fencing <<< "$spec") == enforced ]] && fencing=(--enforce-fencing)
    for ((place = 1; place <= replicas; ++place)); do
        domain=$(jq -r ".failure_domains[($place - 1) % (.failure_domains | length)]" "$1")
        start "$name-$place" vg-fake-target --kind "$kind" --seed "$place" "${fencing[@]}"
        targets=$(jq -c --arg id "$name-$place" --arg address "${address[$name-$place.http_address]}" \
            --arg domain "$domain" '. + [{id: $id, address: $address, failure_domain: $domain}]' <<< "$targets")
    done
    jq -n --argjson spec "$spec" --argjson targets "$targets" \
        '{kind: "deployment", name: $spec.name, spec: (($spec | del(.name, .replicas)) + {targets: $targets})}' \
        > "$work/deployment-$name.json"
}

# ctl VM ARGS...: vgctl against that VM's keeper.
ctl() {
    local vm=$1
    shift
    "$bin/vgctl" --server "${address[$vm.keeper.operator_address]}" --token "$operator_token" "$@"
}

# post ADDRESS TOKEN METHOD JSON
post() {
    curl -sS -m 10 -X POST "http://$1/vanillagauge.v1.$3" -H "Authorization: Bearer $2" \
        -H 'Content-Type: application/json' -d "$4"
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds.
until_true() {
    local tries=$(($1 * 10))
    shift
    until "$@"; do
        ((tries-- > 0)) || return 1
        sleep 0.1
    done
}
