#pragma once

#include "base/enum_table.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::bench {

enum class fault_kind {
    /// kill -9 of a node, and a new process at the same addresses after the length.
    kill_node,
    /// SIGSTOP for longer than suspicion, then SIGCONT.
    pause_node,
    /// SIGTERM and, after the exit, a new process at the same addresses.
    drain_node,
    /// Bytes of the established connections of two nodes vanish.
    swallow_connections,
    /// One or two nodes cannot reach the others, nor be reached by them.
    partition_nodes,
    delay_links,
    log_down,
    log_slow,
    /// Appends take effect but are not answered.
    log_answers_lost,
    vm_list_down,
    vm_list_omits,
    engine_slow,
    engine_killed,
    engine_leaving,
    streams_cut,
    engine_silent,
    service_answers_lost,
    load_burst,
    /// Two operators publish different changes of the same version at different nodes at the same time.
    racing_operators,
};

inline constexpr auto faultKindNames = enumTable<fault_kind>({
    { fault_kind::kill_node, "kill_node" },
    { fault_kind::pause_node, "pause_node" },
    { fault_kind::drain_node, "drain_node" },
    { fault_kind::swallow_connections, "swallow_connections" },
    { fault_kind::partition_nodes, "partition_nodes" },
    { fault_kind::delay_links, "delay_links" },
    { fault_kind::log_down, "log_down" },
    { fault_kind::log_slow, "log_slow" },
    { fault_kind::log_answers_lost, "log_answers_lost" },
    { fault_kind::vm_list_down, "vm_list_down" },
    { fault_kind::vm_list_omits, "vm_list_omits" },
    { fault_kind::engine_slow, "engine_slow" },
    { fault_kind::engine_killed, "engine_killed" },
    { fault_kind::engine_leaving, "engine_leaving" },
    { fault_kind::streams_cut, "streams_cut" },
    { fault_kind::engine_silent, "engine_silent" },
    { fault_kind::service_answers_lost, "service_answers_lost" },
    { fault_kind::load_burst, "load_burst" },
    { fault_kind::racing_operators, "racing_operators" },
});

struct planned_fault {
    fault_kind kind = fault_kind::kill_node;
    /// Counted from the start of the load.
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds length { 0 };
    /// Number of the node, engine or service endpoint; of the first one where a fault concerns two.
    std::size_t target = 0;
    /// Number of the second node; equals target where there is none.
    std::size_t second = 0;

    friend bool operator==(const planned_fault&, const planned_fault&) = default;
};

struct schedule_settings {
    std::uint64_t seed = 1;
    /// Faults begin and end within this time, counted from the start of the load.
    std::chrono::milliseconds begin { 3000 };
    std::chrono::milliseconds end { 50000 };
    std::size_t nodes = 5;
    std::size_t engines = 12;
    std::size_t services = 3;
    /// At least one of each kind is planned.
    std::size_t faults = 28;
};

/// Faults in order of time; the same settings give the same schedule. A third of them begin within 300 ms of another one. A
/// node or engine has one fault of its own process at a time, and at least three nodes run at any time.
std::vector<planned_fault> makeSchedule(const schedule_settings& settings);

/// "at_ms=12000 fault=kill_node length_ms=2000 target=3 second=3".
std::string scheduleLine(const planned_fault& fault);

} // namespace carawaylink::bench
