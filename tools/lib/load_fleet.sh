# A small fleet for load runs: a platform, plain services and one VM with one entry. Sourced after fleet.sh.

# start_load_fleet POLICY TARGETS SERVICE_MS CAPACITY: the entry's address is ${address[entry.http_address]}.
start_load_fleet() {
    local policy=$1 count=$2 service_ms=$3 capacity=$4 place targets='[]' keeper
    start platform vg-fake-platform
    for ((place = 1; place <= count; ++place)); do
        start "app-$place" vg-fake-target --kind service --service-ms "$service_ms" --capacity "$capacity"
        targets=$(jq -c --arg id "app-$place" --arg address "${address[app-$place.http_address]}" \
            '. + [{id: $id, address: $address, failure_domain: "piraeus"}]' <<< "$targets")
    done
    write_settings vm-1 piraeus "127.0.0.1:0" '[]'
    start vm-1.keeper vg-keeper --settings "$work/vm-1.json"
    keeper=${address[vm-1.keeper.peer_address]}
    write_settings vm-1 piraeus "$keeper" '[]'
    jq --arg policy "$policy" '.entry = {policy: $policy} | del(.span_file)' "$work/vm-1.json" > "$work/entry.json"
    start entry vg-entry --settings "$work/entry.json"
    jq -n --argjson targets "$targets" '{kind: "deployment", name: "members-app",
        spec: {kind: "service", default_deadline_ms: 1000, targets: $targets}}' > "$work/members-app.json"
    ctl vm-1 apply "$work/members-app.json" > /dev/null
    until_true 10 load_fleet_answers
}

load_fleet_answers() {
    call_app warm-up e30= | jq -e '.request_id == "warm-up"' > /dev/null 2>&1
}

# call_app ID BODY_BASE64
call_app() {
    post "${address[entry.http_address]}" "$caller_token" Entry/Call \
        "{\"deployment\":\"members-app\",\"method\":\"plan\",\"request_id\":\"$1\",\"idempotent\":true,\"body\":\"$2\"}"
}

# set_fault TARGET JSON
set_fault() {
    curl -sS -m 10 -X POST "http://${address[$1.http_address]}/target.v1.Control/Fault" \
        -H 'Content-Type: application/json' -d "$2" > /dev/null
}
