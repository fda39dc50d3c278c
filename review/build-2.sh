#!/usr/bin/env bash
# Builds the programs that the scripts of cases 5 and 6 start, into target/review-2. Run it after the build of
# deploy/system.toml, whose packages it needs and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -g0 -pthread -Isrc -I. -Wall -Wno-restrict -Wno-mismatched-new-delete)

compile() { # SOURCE
    g++ "${flags[@]}" -c "$1" -o "$out/objects/$(tr / _ <<< "${1%.cpp}").o"
}
export -f compile
export out
shared=(src/base/*.cpp src/observe/last_inputs.cpp src/net/*.cpp src/net/internal/*.cpp standins/users/fake_store.cpp standins/users/fake_replica.cpp
    review/outside_2.cpp)
cases=(review/[56]/play.cpp) # not case.cpp, which review/build.sh takes for its own
running=()
for source in "${shared[@]}" "${cases[@]}"; do
    compile "$source" &
    running+=($!)
    if ((${#running[@]} >= $(nproc))); then
        wait "${running[0]}"
        running=("${running[@]:1}")
    fi
done
for id in "${running[@]}"; do wait "$id"; done
objects=()
for source in "${shared[@]}"; do objects+=("$out/objects/$(tr / _ <<< "${source%.cpp}").o"); done
for source in "${cases[@]}"; do
    number=$(basename "$(dirname "$source")")
    g++ -pthread "$out/objects/review_${number}_play.o" "${objects[@]}" -lxxhash -o "$out/case-$number"
done
