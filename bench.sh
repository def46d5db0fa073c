#!/usr/bin/env bash
# Builds and runs a bench. The last line is "NAME key=value ...".
# Usage: ./bench.sh scheduling|node|recovery|faults|control [--seed N]
set -euo pipefail
cd "$(dirname "$0")"
[ $# -ge 1 ] || { sed -n '2,3p' "$0" >&2; exit 2; }
./build.sh >&2
exec build/bin/carawaylink-bench "$@"
