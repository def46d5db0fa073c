#!/usr/bin/env bash
# Runs the Oduya sample on this machine: stand-ins of the platform, 20 model engines of three speeds, 3 plain service
# endpoints and 4 nodes; sends sample requests and 12 s of a Sunday's load, prints the figures and checks the histories.
set -euo pipefail
cd "$(dirname "$0")"
./build.sh >&2
binaries=build/bin
out=$(mktemp -d "${TMPDIR:-/tmp}/carawaylink-demo.XXXXXX")
. scripts/cluster.sh
trap 'stop_cluster; rm -rf "$out"' EXIT

echo "== Starting the platform's stand-ins, 20 engines, 3 service endpoints and 4 nodes"
start_oduya
export CARAWAYLINK_OPERATOR_KEY=operator-key
cli() { "$binaries/carawaylink" --node "${node_http[node-1]}" --node "${node_http[node-2]}" "$@"; }

echo "== carawaylink config apply samples/oduya/fleet.yaml"
cli config apply samples/oduya/fleet.yaml --author demo | tail -3
wait_until_ready rota-app key-choir-1

entry=${node_http[node-1]}
key="Authorization: Bearer key-choir-1"
echo "== One request through each kind of interface, with curl"
show() { printf '%-34s %s\n' "$1" "$(head -c 150 | tr -d '\n')"; }
curl -sS -m 10 -H "$key" -d '{"model":"rota-llm","prompt":"Who makes tea on Sunday?","max_tokens":6,"user":"ask"}' \
    "http://$entry/v1/completions" | show "completion, whole"
curl -sS -m 10 -H "$key" -d '{"model":"rota-llm","messages":[{"role":"user","content":"Plan the term"}],"max_tokens":3,"stream":true,"user":"plan"}' \
    "http://${node_http[node-3]}/v1/chat/completions" | grep -c '^id:' | show "chat, streamed: tokens"
curl -sS -m 10 -H "$key" "http://$entry/services/rota-app/this-sunday" | show "lookup"
curl -sS -m 10 -X POST -H "$key" -d '{"call":"urn"}' "http://$entry/services/rota-app/confirm" | show "confirmation without a ticket"
ticket=$(curl -sS -m 10 -H "$key" "http://$entry/v1/entry?tickets=1" | sed 's/.*"tickets":\["\([^"]*\)".*/\1/')
for node in node-1 node-2; do
    curl -sS -m 10 -X POST -H "$key" -H "X-Carawaylink-Ticket: $ticket" -d '{"call":"urn"}' \
        "http://${node_http[$node]}/services/rota-app/confirm" | show "confirmation, same ticket, $node"
done

echo "== 12 s of load (traces/oduya-sunday-burst.yaml at 60 requests/s), with node-4 killed after 5 s"
"$binaries/carawaylink-load" generate traces/oduya-sunday-burst.yaml --rate 60 --duration 12 --seed 7 --out "$out/trace.jsonl" >/dev/null
(
    sleep 5
    kill -KILL "${program_pid[node-4]}"
    printf '{"source":"fault","event":"kill","t_us":%s,"node":"node-4"}\n' "$(awk '{printf "%d", $1 * 1000000}' /proc/uptime)" >"$out/faults.jsonl"
) &
killer=$!
with=()
for history in "$out"/engines-*.jsonl "$out"/node-*.jsonl; do with+=(--with "$history"); done
"$binaries/carawaylink-load" run --trace "$out/trace.jsonl" --entry "${node_http[@]}" --plain rota-app --drain-ms 15000 \
    --history "$out/callers.jsonl" "${with[@]}"
wait "$killer"

echo "== Promises, decided from the histories of callers, nodes, engines, services and log"
"$binaries/carawaylink-load" check "$out"/callers.jsonl "$out"/engines-*.jsonl "$out"/app-*.jsonl "$out"/node-*.jsonl "$out"/log.jsonl
echo "== carawaylink status"
cli status | head -12
