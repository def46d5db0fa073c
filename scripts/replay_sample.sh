#!/usr/bin/env bash
# Replays the recorded trace of a sample deployment against stand-ins and 4 nodes, compares the figures with the stated
# outcomes and checks the promises. Exit status 1 where an outcome fell short or a promise was breached.
# Usage: scripts/replay_sample.sh oduya|luzon
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
oduya) trace=oduya-sunday-burst plain=rota-app key=key-choir-1 ;;
luzon) trace=luzon-imposition-evening plain=plate-desk key=key-shop-1 ;;
*) sed -n '4p' "$0" >&2; exit 2 ;;
esac
./build.sh >&2
binaries=build/bin
out=$(mktemp -d "${TMPDIR:-/tmp}/carawaylink-replay.XXXXXX")
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$out"' EXIT
"start_$1"
export CARAWAYLINK_OPERATOR_KEY=operator-key
"$binaries/carawaylink" --node "${node_http[node-1]}" config apply "samples/$1/fleet.yaml" --author replay >/dev/null
wait_until_ready "$plain" "$key"
with=()
for history in "$out"/engines-*.jsonl "$out"/node-*.jsonl; do with+=(--with "$history"); done
status=0
"$binaries/carawaylink-load" run --trace "traces/$trace.jsonl" --entry "${node_http[@]}" --plain "$plain" \
    --expect "traces/$trace.outcomes.yaml" --history "$out/callers.jsonl" "${with[@]}" || status=1
"$binaries/carawaylink-load" check "$out"/*.jsonl || status=1
exit "$status"
