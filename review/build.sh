#!/usr/bin/env bash
# Builds the cases' stand-ins into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
compile() { "${CXX:-g++}" -std=c++20 -O1 -pthread "$@"; }
compile -c standins/users.cpp -o bin/users.o &
compile -c standins/batches.cpp -o bin/batches.o &
wait -n
wait -n
for case in [0-9]*/case.cpp; do
    compile "$case" bin/users.o bin/batches.o -o "bin/case-${case%%/*}"
done
