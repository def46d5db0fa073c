# Functions that start stand-ins and nodes on loopback with free ports; sourced by demo.sh and the benches.
# Uses: out (folder for settings, logs and histories), binaries (folder of the programs).

cluster_pids=()
declare -A program_address program_pid

# start_program NAME COMMAND...: starts a program and waits for its "listening" line; sets program_address[NAME] to the
# addresses that it printed, one per line.
start_program() {
    local name=$1
    shift
    "$@" >"$out/$name.out" 2>"$out/$name.err" &
    program_pid[$name]=$!
    cluster_pids+=($!)
    local try
    for try in $(seq 1 200); do
        if grep -q '^listening' "$out/$name.out" 2>/dev/null; then
            sleep 0.02
            program_address[$name]=$(sed -n 's/^listening .*address=\([0-9.:]*\).*/\1/p' "$out/$name.out")
            return 0
        fi
        kill -0 "${program_pid[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not start:" >&2
    tail -5 "$out/$name.err" >&2
    return 1
}

# stop_cluster: ends every program that was started here, by its id.
stop_cluster() {
    local pid
    for pid in "${cluster_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${cluster_pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    cluster_pids=()
}

# start_engines NAME SERVICE DOMAIN COUNT OPTIONS...: engines in one process, added to the list of vms.
start_engines() {
    local name=$1 service=$2 domain=$3 count=$4
    shift 4
    start_program "$name" "$binaries/carawaylink-engine" --instances "$count" --model "$service" --history "$out/$name.jsonl" "$@"
    add_vms "$service" "$domain" ${program_address[$name]}
}

# start_service NAME SERVICE DOMAIN OPTIONS...: one endpoint of a plain service.
start_service() {
    local name=$1 service=$2 domain=$3
    shift 3
    start_program "$name" "$binaries/carawaylink-service" --name "$service" --history "$out/$name.jsonl" "$@"
    add_vms "$service" "$domain" ${program_address[$name]}
}

# add_vms SERVICE DOMAIN ADDRESS...: adds endpoints to the list of vms.
add_vms() {
    local service=$1 domain=$2 entries="" address
    shift 2
    for address in "$@"; do
        entries+="${entries:+,}{\"address\":\"$address\",\"role\":\"endpoint\",\"service\":\"$service\",\"state\":\"live\",\"failure_domain\":\"$domain\"}"
    done
    curl -sf -X POST -d "{\"vms\":[$entries]}" "http://${program_address[vms]}/vms" >/dev/null
}

# start_platform OPTIONS...: the log and the list of vms.
start_platform() {
    start_program log "$binaries/carawaylink-log" --history "$out/log.jsonl" "$@"
    start_program vms "$binaries/carawaylink-vms"
}

# start_node NAME DOMAIN REGION [EXTRA YAML LINE...]: one carawaylinkd; sets node_http[NAME].
declare -A node_http
start_node() {
    local name=$1 domain=$2 region=$3 seeds=""
    shift 3
    [ -n "${first_node:-}" ] && seeds="\"$first_node\""
    {
        cat <<YAML
cluster: test
node_address: 127.0.0.1:0
http_address: 127.0.0.1:0
failure_domain: $domain
region: $region
seeds: [$seeds]
log_address: ${program_address[log]}
vm_list_address: ${program_address[vms]}
history_file: $out/$name.jsonl
cluster_keys:
  - id: k1
    secret: a-secret-of-the-test-cluster
operator_keys:
  - name: operator
    sha256: $(printf %s operator-key | sha256sum | cut -d' ' -f1)
YAML
        printf '%s\n' "$@"
    } >"$out/$name.yaml"
    start_program "$name" "$binaries/carawaylinkd" --settings "$out/$name.yaml"
    node_http[$name]=$(sed -n 's/^listening http=\([0-9.:]*\) .*/\1/p' "$out/$name.out")
    [ -n "${first_node:-}" ] || first_node=$(sed -n 's/^listening .* node=\([0-9.:]*\).*/\1/p' "$out/$name.out")
}

# publish_configuration FILE: appends the first configuration through a node's operator interface.
publish_configuration() {
    local body
    body=$(python3 -c 'import json,sys; print(json.dumps({"id":"first","author":"demo","base_version":0,"kind":"change","document":open(sys.argv[1]).read()}))' "$1")
    curl -sf -X POST -H "Authorization: Bearer operator-key" -d "$body" "http://${node_http[node-1]}/admin/config/records"
    echo
}
