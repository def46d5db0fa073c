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
    disown $! # no job message where a program is killed on purpose
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
    cluster_pids=()
}

# start_engines NAME SERVICE DOMAIN COUNT OPTIONS...: engines in one process, added to the list of vms. They start with the model
# engine_model, by default named as the service.
start_engines() {
    local name=$1 service=$2 domain=$3 count=$4
    shift 4
    start_program "$name" "$binaries/carawaylink-engine" --instances "$count" --model "${engine_model:-$service}" --history "$out/$name.jsonl" "$@"
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

# start_sample_node NAME FILE: one carawaylinkd with the settings of a sample file, but with free ports, the stand-ins'
# addresses and a history; sets node_http[NAME].
declare -A node_http
first_node=""
start_sample_node() {
    local name=$1 file=$2
    {
        grep -vE '^(node_address|http_address|log_address|vm_list_address|seeds):' "$file"
        cat <<YAML
node_address: 127.0.0.1:0
http_address: 127.0.0.1:0
log_address: ${program_address[log]}
vm_list_address: ${program_address[vms]}
history_file: $out/$name.jsonl
seeds: [${first_node:+"\"$first_node\""}]
YAML
    } >"$out/$name.yaml"
    start_program "$name" "$binaries/carawaylinkd" --settings "$out/$name.yaml"
    node_http[$name]=$(sed -n 's/^listening http=\([0-9.:]*\) .*/\1/p' "$out/$name.out")
    [ -n "$first_node" ] || first_node=$(sed -n 's/^listening .* node=\([0-9.:]*\).*/\1/p' "$out/$name.out")
}

# wait_until_ready SERVICE KEY: waits until a lookup of a plain service is answered through every node.
wait_until_ready() {
    local address try
    for address in "${node_http[@]}"; do
        for try in $(seq 1 200); do
            curl -sf -m 2 -H "Authorization: Bearer $2" "http://$address/services/$1/lookup" >/dev/null && break
            sleep 0.05
        done
    done
}

# start_oduya, start_luzon: the sample deployments at their true number of endpoints, engines of three speeds, 4 nodes.
start_oduya() {
    # The model of the sample's configuration; with another one the nodes would order the engines to load it.
    local engine_model=rota-large
    start_platform
    start_engines engines-a rota-llm lagos-a 7 --generation g3 --speed 2
    start_engines engines-b rota-llm lagos-b 7 --generation g2 --speed 1
    start_engines engines-c rota-llm ibadan-a 6 --generation g1 --speed 0.5
    start_service app-1 rota-app lagos-a
    start_service app-2 rota-app lagos-b
    start_service app-3 rota-app ibadan-a
    start_sample_nodes oduya
}
start_luzon() {
    local engine_model=prepress-large
    start_platform
    start_engines engines-a prepress-llm ncr-a 4 --generation g3 --speed 2
    start_engines engines-b prepress-llm ncr-b 3 --generation g2 --speed 1
    start_engines engines-c prepress-llm ncr-c 3 --generation g1 --speed 0.5
    local number
    for number in 1 2 3 4; do start_service "app-$number" plate-desk ncr-d; done
    start_sample_nodes luzon
}
start_sample_nodes() {
    local number
    for number in 1 2 3 4; do
        start_sample_node "node-$number" "samples/$1/node-$number.yaml"
    done
}
