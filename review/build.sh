#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
options=(-std=c++20 -O2 -Wall -Wextra -Wshadow -Werror -pthread)
g++ "${options[@]}" -c review/stand/stand.cpp -o target/review/stand.o
for source in review/stand/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = stand ] || g++ "${options[@]}" "$source" target/review/stand.o -o "target/review/$name"
done
