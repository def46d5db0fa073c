#!/usr/bin/env bash
# Builds every libFuzzer target and runs each for a bounded number of inputs from a fixed seed; exits non-zero on a finding.
# Usage: scripts/run_fuzzers.sh [--runs N] [--seed N] [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=20000
seed=1
targets=()
while [ $# -gt 0 ]; do
    case "$1" in
    --runs) runs=$2; shift 2 ;;
    --seed) seed=$2; shift 2 ;;
    -*) echo "unknown option $1" >&2; exit 2 ;;
    *) targets+=("$1"); shift ;;
    esac
done
[ "${#targets[@]}" -gt 0 ] || targets=(frames datagrams daemon_settings fleet_configuration completion_body log_page response ticket trace)
./build.sh --fuzz fuzz_seeds "${targets[@]/#/fuzz_}" >&2
work=build-fuzz/corpus
findings=build-fuzz/findings
mkdir -p "$findings"
rm -rf "$work"
build-fuzz/fuzz/fuzz_seeds "$work"
status=0
for target in "${targets[@]}"; do
    mkdir -p "$work/$target"
    case "$target" in
    daemon_settings) cp samples/oduya/node-1.yaml samples/luzon/node-1.yaml "$work/$target" 2>/dev/null || cp samples/oduya/node-1.yaml "$work/$target" ;;
    fleet_configuration) cp samples/oduya/fleet.yaml "$work/$target" ;;
    *) [ ! -d "fuzz/corpus/$target" ] || cp -r "fuzz/corpus/$target/." "$work/$target" ;;
    esac
    log="build-fuzz/$target.log"
    if timeout 120 "build-fuzz/fuzz/fuzz_$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=10 -rss_limit_mb=2048 \
        -artifact_prefix="$findings/$target-" "$work/$target" >"$log" 2>&1; then
        echo "$target: no finding, $(grep -oE '^Done [0-9]+ runs in [0-9]+ second' "$log" | tail -1)"
    else
        status=1
        echo "$target: FINDING, see $log"
        grep -E 'ERROR|runtime error|SUMMARY|Test unit written' "$log" | head -5
    fi
done
exit "$status"
