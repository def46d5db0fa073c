#!/usr/bin/env bash
# Builds and runs every unit and process test but those that KNOWN-RED.txt names. The last line gives the counts.
# Usage: ./test.sh [ctest arguments]
set -euo pipefail
cd "$(dirname "$0")"
./build.sh >&2
known=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
    printf 'known red, not run: %s\n' "${known[@]}"
    exclude=(-E "^($(IFS='|'; echo "${known[*]}"))\$")
fi
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
ctest --test-dir build --output-on-failure --no-tests=error -j "$(nproc)" "${exclude[@]}" "$@" 2>&1 | tee "$log" || status=$?
total=$(grep -oE 'out of [0-9]+' "$log" | tail -1 | grep -oE '[0-9]+' || echo 0)
failed=$(grep -oE '[0-9]+ tests? failed' "$log" | tail -1 | grep -oE '^[0-9]+' || echo 0)
echo "$((total - failed)) passed, $failed failed, ${#known[@]} skipped"
exit "$status"
