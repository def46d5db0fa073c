#pragma once

#include "bench/benches.h"
#include "bench/cluster.h"
#include "bench/relay.h"
#include "load/history.h"
#include "load/trace.h"

#include <memory>
#include <string>
#include <vector>

namespace carawaylink::bench {

/// Throws error(invalid_argument) where the folder has files: programs append to their histories, and those of two runs must not
/// be judged together.
void requireEmpty(const std::string& folder);

struct fleet_shape {
    std::size_t nodes = 5;
    /// Engines of four, two and one times the base speed, one process each.
    std::size_t enginesPerSpeed = 4;
    std::size_t services = 3;
    /// Peers reach each other through a relay.
    bool relayed = true;
    /// Further settings lines of every node.
    std::vector<std::string> nodeLines;
    duration readyLimit = std::chrono::seconds(20);
};

/// Nodes in three failure domains, engines of three speeds for the service "llm" and endpoints of the plain service "desk".
class bench_fleet {
public:
    bench_fleet(const bench_options& options, const std::string& folder, const fleet_shape& shape);

    cluster& processes() { return *m_cluster; }
    relay& links() { return m_relay; }
    running_node& node(std::size_t index) { return *m_cluster->nodes().at(index); }
    std::size_t nodeCount() { return m_cluster->nodes().size(); }
    const std::vector<std::string>& engines() const { return m_engines; }
    const std::vector<std::string>& services() const { return m_services; }
    /// Program name of an engine, for cluster::program().
    static std::string engineName(std::size_t index) { return "engine-" + std::to_string(index + 1); }
    /// Failure domain of the node or engine with that index.
    static std::string domainOf(std::size_t index);
    /// Fleet configuration whose number tells changes apart.
    static std::string configuration(std::size_t number);
    static const std::vector<std::string>& teams();

    /// Offers the trace with the load library until its last call has ended.
    void offer(const std::vector<load::trace_call>& calls, std::uint64_t seed);
    /// Writes a line to the history of faults; `node` is the address of the node concerned, or empty.
    void noteFault(std::string_view event, const std::string& node = {});
    /// Writes to the history that an engine takes work again; call before its switch "leaving" is cleared.
    void noteLive(const std::string& engine);

private:
    relay m_relay;
    std::unique_ptr<cluster> m_cluster;
    std::unique_ptr<load::history_writer> m_faultHistory;
    std::vector<std::string> m_engines;
    std::vector<std::string> m_services;
};

} // namespace carawaylink::bench
