#pragma once

#include "bench/child_process.h"
#include "http/client.h"

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaylink::bench {

/// Engines of one kind in one stand-in process.
struct engine_group {
    std::string name;
    std::string service;
    std::string failureDomain;
    std::size_t count = 1;
    /// Further options of carawaylink-engine, for example { "--speed", "2" }.
    std::vector<std::string> options;
};

struct node_options {
    std::string name;
    std::string failureDomain;
    std::string region = "region-1";
    /// Further lines of the settings file, for example "policy: round_robin".
    std::vector<std::string> lines;
    /// Address for peers to listen on; port 0 picks a free one.
    std::string nodeAddress = "127.0.0.1:0";
    std::string httpAddress = "127.0.0.1:0";
    /// Address of a relay under which peers reach nodeAddress, which must then have a fixed port; empty for none.
    std::string advertiseAddress;
    /// Writes the history that the checker needs; a line for each decision costs processor time.
    bool writesHistory = true;
};

struct running_node {
    node_options options;
    /// Address to which the node binds.
    std::string nodeAddress;
    std::string httpAddress;
    std::unique_ptr<child_process> process;
    /// Settings of this run, to start a replacement at the same addresses.
    std::string settingsPath;

    /// Address under which peers know the node.
    const std::string& peerAddress() const { return options.advertiseAddress.empty() ? nodeAddress : options.advertiseAddress; }
    bool running() const { return process && process->running(); }
};

/// Stand-ins and nodes on loopback with free ports. Everything is killed and reaped when the object goes.
///
///     cluster fleet("build/bin", folder);
///     fleet.startPlatform({});
///     fleet.startEngines({ "fast", "llm", "zone-a", 4, { "--speed", "2" } });
///     fleet.startNode({ "node-1", "zone-a" });
///     fleet.publish(fleetYaml);
///     fleet.waitUntilReady(std::chrono::seconds(10));
class cluster {
public:
    /// folder receives settings, output and histories; it must exist.
    cluster(std::string binaries, std::string folder);
    ~cluster();

    void startPlatform(const std::vector<std::string>& logOptions);
    /// Starts the engines, adds them to the list of vms and returns their addresses.
    std::vector<std::string> startEngines(const engine_group& group);
    /// Starts endpoints of a plain service, one process each.
    std::vector<std::string> startService(const std::string& service, const std::string& failureDomain, std::size_t count);
    running_node& startNode(const node_options& options);
    /// Starts a stopped node again with the same settings, so at the same addresses.
    void restartNode(running_node& node);
    /// Kills the program where it still runs and starts it again with the same command.
    void restartProgram(const std::string& name);
    /// Publishes a fleet configuration on top of the one in force and returns the new version. Throws error(conflict) where it
    /// is refused.
    std::uint64_t publish(const std::string& fleetYaml);
    /// Waits until all running nodes agree on members and configuration and have taken over every pool. Throws error(timeout).
    void waitUntilReady(duration limit);

    /// Changes fault switches of a stand-in.
    void setFaults(const std::string& address, const std::string& json);
    /// Adds or replaces entries of the list of vms.
    void setVms(const std::string& json);
    boost::json::value status(const running_node& node);
    http_response admin(const running_node& node, const http_request& request);

    std::vector<std::unique_ptr<running_node>>& nodes() { return m_nodes; }
    child_process& program(const std::string& name) { return *m_programs.at(name); }
    std::vector<std::string> entryAddresses() const;
    const std::string& logAddress() const { return m_logAddress; }
    const std::string& vmListAddress() const { return m_vmListAddress; }
    const std::string& folder() const { return m_folder; }
    const std::string& binaries() const { return m_binaries; }
    /// Paths of all histories written so far.
    std::vector<std::string> histories() const;

private:
    std::vector<std::map<std::string, std::string>> startProgram(
        const std::string& name, const std::vector<std::string>& command, std::size_t listeners);
    void addEndpoints(const std::string& service, const std::string& failureDomain, const std::vector<std::string>& addresses);
    void startProcess(running_node& node);
    bool agreed();

    std::string m_binaries;
    std::string m_folder;
    std::string m_logAddress;
    std::string m_vmListAddress;
    struct program_command {
        std::vector<std::string> words;
        std::size_t listeners = 1;
    };

    std::map<std::string, std::unique_ptr<child_process>> m_programs;
    std::map<std::string, program_command> m_commands;
    std::vector<std::unique_ptr<running_node>> m_nodes;
    std::size_t m_poolCount = 0;
    std::uint64_t m_nextChange = 1;
};

/// A fleet configuration with four tiers and teams that share equally; the key of team T is "key-T". Each service is
/// NAME or NAME:plain.
std::string fleetYaml(const std::vector<std::string>& teams, const std::vector<std::string>& services);

} // namespace carawaylink::bench
