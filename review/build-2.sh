#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -c review/stand-2/deployment.cpp -o target/review-2/deployment.o
for source in review/stand-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = deployment ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" target/review-2/deployment.o -o "target/review-2/$name"
done
