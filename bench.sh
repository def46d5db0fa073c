#!/usr/bin/env bash
# Builds and runs a bench; the last line of output is NAME key=value ...
# Usage: ./bench.sh NAME [--seed N] [option...]   (carawaylink-bench --help lists names and options)
set -euo pipefail
cd "$(dirname "$0")"
if [ $# -eq 0 ] || [ "$1" = --help ]; then
    sed -n '2,3p' "$0"
    exit $(($# == 0 ? 2 : 0))
fi
./build.sh >&2
exec build/bin/carawaylink-bench "$@"
