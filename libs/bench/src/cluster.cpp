#include "bench/cluster.h"

#include "base/error.h"
#include "crypto/digest.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace carawaylink::bench {

namespace json = boost::json;

namespace {

constexpr auto startLimit = std::chrono::seconds(20);
constexpr auto callTimeout = std::chrono::seconds(5);
constexpr std::string_view operatorKey = "operator-key";

std::string text(const json::value& value)
{
    return std::string(value.as_string());
}

} // namespace

cluster::cluster(std::string binaries, std::string folder)
    : m_binaries(std::move(binaries))
    , m_folder(std::move(folder))
{
}

cluster::~cluster() = default;

std::vector<std::map<std::string, std::string>> cluster::startProgram(
    const std::string& name, const std::vector<std::string>& command, std::size_t listeners)
{
    m_commands[name] = { command, listeners };
    auto& program = m_programs[name];
    program = std::make_unique<child_process>(name, m_folder, command);
    return program->waitUntilListening(listeners, startLimit);
}

void cluster::restartProgram(const std::string& name)
{
    const auto command = m_commands.at(name);
    m_programs.at(name).reset();
    startProgram(name, command.words, command.listeners);
}

void cluster::startPlatform(const std::vector<std::string>& logOptions)
{
    std::vector<std::string> command { m_binaries + "/carawaylink-log", "--history", m_folder + "/log.jsonl" };
    std::ranges::copy(logOptions, std::back_inserter(command));
    m_logAddress = startProgram("log", command, 1).front().at("address");
    m_vmListAddress = startProgram("vms", { m_binaries + "/carawaylink-vms" }, 1).front().at("address");
}

std::vector<std::string> cluster::startEngines(const engine_group& group)
{
    std::vector<std::string> command { m_binaries + "/carawaylink-engine", "--instances", std::to_string(group.count), "--model",
        group.service, "--history", m_folder + "/" + group.name + ".jsonl" };
    std::ranges::copy(group.options, std::back_inserter(command));
    std::vector<std::string> addresses;
    for (const auto& line : startProgram(group.name, command, group.count))
        addresses.push_back(line.at("address"));
    addEndpoints(group.service, group.failureDomain, addresses);
    return addresses;
}

std::vector<std::string> cluster::startService(const std::string& service, const std::string& failureDomain, std::size_t count)
{
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = service + "-" + std::to_string(i + 1);
        const std::vector<std::string> command { m_binaries + "/carawaylink-service", "--name", service, "--history",
            m_folder + "/" + name + ".jsonl" };
        addresses.push_back(startProgram(name, command, 1).front().at("address"));
    }
    addEndpoints(service, failureDomain, addresses);
    return addresses;
}

void cluster::addEndpoints(const std::string& service, const std::string& failureDomain, const std::vector<std::string>& addresses)
{
    json::array entries;
    for (const auto& address : addresses)
        entries.push_back(json::object { { "address", address }, { "role", "endpoint" }, { "service", service }, { "state", "live" },
            { "failure_domain", failureDomain } });
    setVms(json::serialize(json::object { { "vms", std::move(entries) } }));
}

void cluster::setVms(const std::string& body)
{
    const auto response = blocking_http_client().send(m_vmListAddress, { "POST", "/vms", {}, body }, callTimeout);
    if (response.status != 200)
        throw error(error_kind::internal, "list of vms answered " + std::to_string(response.status), "check the entries");
}

void cluster::setFaults(const std::string& address, const std::string& body)
{
    const auto response = blocking_http_client().send(address, { "POST", "/faults", {}, body }, callTimeout);
    if (response.status != 200)
        throw error(
            error_kind::internal, "stand-in answered " + std::to_string(response.status) + ": " + response.body, "check the switches");
}

running_node& cluster::startNode(const node_options& options)
{
    auto& node = *m_nodes.emplace_back(std::make_unique<running_node>());
    node.options = options;
    node.settingsPath = m_folder + "/" + options.name + ".yaml";
    node.nodeAddress = options.nodeAddress;
    node.httpAddress = options.httpAddress;
    startProcess(node);
    return node;
}

void cluster::restartNode(running_node& node)
{
    startProcess(node);
}

void cluster::startProcess(running_node& node)
{
    std::ofstream file(node.settingsPath);
    file << "cluster: bench\nnode_address: " << node.nodeAddress << "\nhttp_address: " << node.httpAddress
         << (node.options.advertiseAddress.empty() ? "" : "\nadvertise_address: " + node.options.advertiseAddress)
         << "\nfailure_domain: " << node.options.failureDomain << "\nregion: " << node.options.region << "\nlog_address: " << m_logAddress
         << "\nvm_list_address: " << m_vmListAddress << '\n';
    if (node.options.writesHistory)
        file << "history_file: " << m_folder << '/' << node.options.name << ".jsonl\n";
    file << "seeds: [";
    // Few seeds are enough; the list of vms and gossip bring the rest.
    constexpr std::size_t maxSeeds = 3;
    std::size_t seeds = 0;
    for (const auto& other : m_nodes) {
        if (other.get() != &node && other->process && seeds < maxSeeds)
            file << (seeds++ ? ", " : "") << '"' << other->peerAddress() << '"';
    }
    file << "]\ncluster_keys:\n  - id: k1\n    secret: a-secret-of-the-bench-cluster\noperator_keys:\n  - name: bench\n    sha256: "
         << sha256Hex(operatorKey) << '\n';
    for (const auto& line : node.options.lines)
        file << line << '\n';
    file.close();
    node.process = std::make_unique<child_process>(
        node.options.name, m_folder, std::vector<std::string> { m_binaries + "/carawaylinkd", "--settings", node.settingsPath });
    const auto listening = node.process->waitUntilListening(1, startLimit).front();
    // A node behind a relay prints the address of the relay.
    if (node.options.advertiseAddress.empty())
        node.nodeAddress = listening.at("node");
    node.httpAddress = listening.at("http");
}

http_response cluster::admin(const running_node& node, const http_request& request)
{
    auto authorized = request;
    authorized.headers.push_back({ "Authorization", "Bearer " + std::string(operatorKey) });
    return blocking_http_client().send(node.httpAddress, authorized, callTimeout);
}

json::value cluster::status(const running_node& node)
{
    return json::parse(admin(node, { "GET", "/admin/status", {}, {} }).body);
}

std::uint64_t cluster::publish(const std::string& yaml)
{
    const auto node = std::ranges::find_if(m_nodes, [](const auto& entry) { return entry->process && entry->process->running(); });
    if (node == m_nodes.end())
        throw error(error_kind::unavailable, "no node runs", "start a node first");
    const auto base = json::parse(admin(**node, { "GET", "/admin/config", {}, {} }).body).at("version").to_number<std::uint64_t>();
    const auto id = "bench-" + std::to_string(m_nextChange++);
    const json::object change { { "id", id }, { "author", "bench" }, { "base_version", base }, { "kind", "change" }, { "document", yaml } };
    const auto response = admin(**node, { "POST", "/admin/config/records", {}, json::serialize(change) });
    const auto answer = json::parse(response.body);
    if (response.status != 200 || text(answer.at("result")) != "accepted")
        throw error(error_kind::conflict, "configuration was not accepted: " + response.body, "see the message");
    std::istringstream lines(yaml);
    m_poolCount = 0;
    for (std::string line; std::getline(lines, line);)
        m_poolCount += line.find("kind: ") != std::string::npos ? 1 : 0;
    return answer.at("version").to_number<std::uint64_t>();
}

bool cluster::agreed()
{
    std::size_t live = 0;
    std::size_t pools = 0;
    std::set<std::uint64_t> versions;
    std::set<std::size_t> memberCounts;
    for (const auto& node : m_nodes) {
        if (!node->process || !node->process->running())
            continue;
        ++live;
        const auto page = status(*node);
        versions.insert(page.at("version").to_number<std::uint64_t>());
        memberCounts.insert(static_cast<std::size_t>(std::ranges::count_if(
            page.at("members").as_array(), [](const json::value& member) { return text(member.at("state")) == "alive"; })));
        for (const auto& pool : page.at("pools").as_array()) {
            const bool described = pool.at("slots").to_number<std::size_t>() > 0;
            pools += pool.at("ready").as_bool() && described ? 1 : 0;
        }
    }
    return versions.size() == 1 && *versions.begin() > 0 && memberCounts == std::set<std::size_t> { live } && pools == m_poolCount;
}

void cluster::waitUntilReady(duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (agreed())
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    throw error(error_kind::timeout, "nodes did not agree in time", "see the node output in " + m_folder);
}

std::vector<std::string> cluster::entryAddresses() const
{
    std::vector<std::string> result;
    for (const auto& node : m_nodes) {
        if (node->process && node->process->running())
            result.push_back(node->httpAddress);
    }
    return result;
}

std::vector<std::string> cluster::histories() const
{
    std::vector<std::string> result;
    for (const auto& entry : std::filesystem::directory_iterator(m_folder)) {
        if (entry.path().extension() == ".jsonl")
            result.push_back(entry.path().string());
    }
    std::ranges::sort(result);
    return result;
}

std::string fleetYaml(const std::vector<std::string>& teams, const std::vector<std::string>& services)
{
    std::ostringstream yaml;
    yaml << "tiers:\n"
            "  - {level: 0, name: urgent, deadline_ms: 8000}\n"
            "  - {level: 1, name: normal, deadline_ms: 20000}\n"
            "  - {level: 2, name: batch, deadline_ms: 60000}\n"
            "  - {level: 3, name: idle, deadline_ms: 120000}\n"
            "teams:\n";
    for (const auto& team : teams)
        yaml << "  - {name: " << team << ", weight: 1, highest_tier: 0, default_tier: 1, key_sha256: [" << sha256Hex("key-" + team)
             << "]}\n";
    yaml << "services:\n";
    for (const auto& service : services) {
        const auto colon = service.find(':');
        const auto name = service.substr(0, colon);
        const bool plain = colon != std::string::npos;
        yaml << "  - {name: " << name << ", kind: " << (plain ? "plain" : "engine, models: [" + name + "]") << "}\n";
    }
    return yaml.str();
}

} // namespace carawaylink::bench
