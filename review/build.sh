#!/usr/bin/env bash
# Builds the cases' stand-ins into target/review, beside the programs that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile() { "${CXX:-g++}" -std=c++20 -O1 -pthread "$@"; }
compile -c review/users.cpp -o "$out/users.o"
compile -c review/batches.cpp -o "$out/batches.o"
for case in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    compile "$case" "$out/users.o" "$out/batches.o" -o "$out/case-$number"
done
