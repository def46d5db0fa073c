#include "bench_fleet.h"

#include "base/error.h"
#include "load/replay.h"

#include <boost/json.hpp>
#include <filesystem>

namespace carawaylink::bench {

namespace json = boost::json;

namespace {

constexpr std::size_t failureDomains = 3;

} // namespace

void requireEmpty(const std::string& folder)
{
    std::filesystem::create_directories(folder);
    if (!std::filesystem::is_empty(folder))
        throw error(error_kind::invalid_argument, "folder " + folder + " is not empty", "name a new or an empty folder");
}

std::string bench_fleet::domainOf(std::size_t index)
{
    return "domain-" + std::string(1, static_cast<char>('a' + index % failureDomains));
}

const std::vector<std::string>& bench_fleet::teams()
{
    static const std::vector<std::string> names { "team-1", "team-2", "team-3", "team-4" };
    return names;
}

std::string bench_fleet::configuration(std::size_t number)
{
    // The default deadline is not used by the load, which names its own.
    constexpr std::size_t firstDeadlineMs = 30000;
    return "defaults: {default_deadline_ms: " + std::to_string(firstDeadlineMs + number) + "}\n"
        + fleetYaml(teams(), { "llm", "desk:plain" });
}

bench_fleet::bench_fleet(const bench_options& options, const std::string& folder, const fleet_shape& shape)
    : m_cluster(std::make_unique<cluster>(options.binaries, folder))
    , m_faultHistory(std::make_unique<load::history_writer>(folder + "/faults.jsonl"))
{
    m_cluster->startPlatform({});
    constexpr std::array speeds { "4", "2", "1" };
    for (std::size_t i = 0; i < shape.enginesPerSpeed * speeds.size(); ++i) {
        // A restarted engine returns to its address, so it has a fixed port.
        const auto address = freeAddress("127.0.2." + std::to_string(i + 1));
        const std::vector<std::string> engineOptions { "--listen", address, "--speed", speeds[i % speeds.size()], "--token-ms", "8",
            "--max-running", "4" };
        m_cluster->startEngines({ engineName(i), "llm", domainOf(i), 1, engineOptions });
        m_engines.push_back(address);
    }
    if (shape.services > 0)
        m_services = m_cluster->startService("desk", domainOf(0), shape.services);
    json::array entries;
    for (std::size_t i = 0; i < shape.nodes; ++i) {
        node_options node;
        node.name = "node-" + std::to_string(i + 1);
        node.failureDomain = domainOf(i);
        node.lines = shape.nodeLines;
        if (shape.relayed) {
            const auto ip = "127.0.1." + std::to_string(i + 1);
            node.nodeAddress = freeAddress(ip);
            node.httpAddress = ip + ":0";
            node.advertiseAddress = m_relay.addNode(ip, node.nodeAddress);
        }
        const auto& started = m_cluster->startNode(node);
        entries.push_back(json::object {
            { "address", started.peerAddress() }, { "role", "node" }, { "state", "live" }, { "failure_domain", node.failureDomain } });
    }
    m_cluster->setVms(json::serialize(entries));
    m_cluster->publish(configuration(0));
    m_cluster->waitUntilReady(shape.readyLimit);
}

void bench_fleet::offer(const std::vector<load::trace_call>& calls, std::uint64_t seed)
{
    load::replay_settings settings;
    settings.entry = m_cluster->entryAddresses();
    settings.plainServices = { "desk" };
    settings.runId = "s" + std::to_string(seed);
    settings.patience = std::chrono::seconds(2);
    settings.drainLimit = std::chrono::seconds(20);
    load::history_writer writer(m_cluster->folder() + "/callers.jsonl");
    load::replayTrace(settings, calls, writer);
    writer.flush();
}

void bench_fleet::noteFault(std::string_view event, const std::string& node)
{
    json::object line { { "source", "fault" }, { "event", event }, { "t_us", load::historyTimeUs() } };
    if (!node.empty())
        line["node"] = node;
    m_faultHistory->write(json::serialize(line));
    m_faultHistory->flush();
}

void bench_fleet::noteLive(const std::string& engine)
{
    m_faultHistory->write(json::serialize(
        json::object { { "source", "engine" }, { "event", "live" }, { "endpoint", engine }, { "t_us", load::historyTimeUs() } }));
    m_faultHistory->flush();
}

} // namespace carawaylink::bench
