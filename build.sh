#!/usr/bin/env bash
# Installs what the build needs and builds everything.
# Usage: ./build.sh [--sanitize thread|address] [--fuzz] [target...]
set -euo pipefail
cd "$(dirname "$0")"
scripts/install_packages.sh
directory=build
options=()
targets=()
while [ $# -gt 0 ]; do
    case "$1" in
    --sanitize) directory="build-$2"; options+=("-DCARAWAYLINK_SANITIZE=$2"); shift 2 ;;
    --fuzz) directory=build-fuzz; options+=(-DCARAWAYLINK_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++); shift ;;
    --help) sed -n '2,3p' "$0"; exit 0 ;;
    *) targets+=("$1"); shift ;;
    esac
done
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
cmake -S . -B "$directory" -G Ninja "${options[@]}" >"$directory.configure.log" 2>&1 || { cat "$directory.configure.log" >&2; exit 1; }
rm -f "$directory.configure.log"
cmake --build "$directory" -- -j "$(nproc)" "${targets[@]}"
