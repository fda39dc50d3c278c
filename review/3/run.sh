#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. KEEP_LOGS=FOLDER keeps the gateways' logs.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
program=target/bin/vg-gateway # as deploy/system.toml runs it
[[ -x $program ]] || program=build/bin/vg-gateway
[[ -x $program ]] || { echo "no vg-gateway: build the project first" >&2; exit 2; }
[[ -x target/review/case-3 ]] || review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
timeout --signal=TERM 110 target/review/case-3 "$program" "$folder" review/3/record.txt "$TROUBLE"
code=$?
if [[ -n ${KEEP_LOGS:-} ]]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
rm -rf "$folder"
[[ $code == 0 || $code == 1 ]] || code=2
exit "$code"
