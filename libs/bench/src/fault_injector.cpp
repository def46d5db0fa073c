#include "fault_injector.h"

#include "base/error.h"

#include <boost/json.hpp>
#include <csignal>
#include <iostream>

namespace carawaylink::bench {

namespace json = boost::json;

namespace {

constexpr auto drainLimit = std::chrono::seconds(40);
constexpr auto drainPoll = std::chrono::milliseconds(20);
constexpr auto linkDelay = std::chrono::milliseconds(100);
constexpr int restartAttempts = 5;

/// Switches of a stand-in that a fault sets and, at its end, clears.
std::string switches(fault_kind kind, bool on)
{
    const auto flag = [on](const char* name) { return std::string("{\"") + name + "\":" + (on ? "true" : "false") + "}"; };
    const auto number = [on](const char* name, const char* value, const char* initial = "0") {
        return std::string("{\"") + name + "\":" + (on ? value : initial) + "}";
    };
    switch (kind) {
    case fault_kind::log_down:
    case fault_kind::vm_list_down:
        return flag("down");
    case fault_kind::log_slow:
        return number("slow_ms", "700");
    case fault_kind::log_answers_lost:
        return number("lose_answer_share", "0.7");
    case fault_kind::vm_list_omits:
        return number("omit_share", "0.5");
    case fault_kind::engine_slow:
        return number("slow_factor", "6", "1");
    case fault_kind::engine_leaving:
        return flag("leaving");
    case fault_kind::streams_cut:
        return number("cut_streams_after_tokens", "5");
    case fault_kind::engine_silent:
        return flag("silent_connections");
    case fault_kind::service_answers_lost:
        return number("lose_answer_share", "0.5");
    default:
        throw error(error_kind::internal, "fault without switches", "handle it in fault_injector");
    }
}

bool isNodeFault(fault_kind kind)
{
    return kind == fault_kind::kill_node || kind == fault_kind::pause_node || kind == fault_kind::drain_node;
}

} // namespace

fault_injector::fault_injector(bench_fleet& fleet, std::uint64_t seed)
    : m_fleet(fleet)
    , m_seed(seed)
{
}

void fault_injector::start(const std::vector<planned_fault>& schedule)
{
    m_origin = std::chrono::steady_clock::now();
    for (const auto& fault : schedule)
        m_threads.emplace_back([this, fault] { carryOut(fault); });
}

void fault_injector::wait()
{
    m_threads.clear();
}

void fault_injector::carryOut(const planned_fault& fault)
{
    try {
        std::this_thread::sleep_until(m_origin + fault.at);
        begin(fault);
        if (fault.kind != fault_kind::drain_node)
            std::this_thread::sleep_until(m_origin + fault.at + fault.length);
        end(fault);
    } catch (const error& failure) {
        print(fault, "failed", failure.what());
    }
}

void fault_injector::print(const planned_fault& fault, std::string_view phase, const std::string& detail)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_origin);
    const std::lock_guard lock(m_mutex);
    std::cout << "t_ms=" << now.count() << " phase=" << phase << ' ' << scheduleLine(fault) << (detail.empty() ? "" : " " + detail)
              << std::endl;
}

void fault_injector::begin(const planned_fault& fault)
{
    print(fault, "begin");
    {
        const std::lock_guard lock(m_mutex);
        ++m_begun;
    }
    if (!isNodeFault(fault.kind))
        m_fleet.noteFault(faultKindNames.name(fault.kind));
    auto& processes = m_fleet.processes();
    switch (fault.kind) {
    case fault_kind::kill_node:
        killNode(fault.target);
        break;
    case fault_kind::pause_node: {
        const std::lock_guard lock(m_processes);
        m_fleet.noteFault("pause_node", m_fleet.node(fault.target).peerAddress());
        m_fleet.node(fault.target).process->signal(SIGSTOP);
        break;
    }
    case fault_kind::drain_node:
        drainNode(fault.target);
        break;
    case fault_kind::swallow_connections: {
        const auto& first = m_fleet.node(fault.target).peerAddress();
        const auto& second = m_fleet.node(fault.second).peerAddress();
        m_fleet.links().swallow(first, second);
        m_fleet.links().swallow(second, first);
        break;
    }
    case fault_kind::partition_nodes:
    case fault_kind::delay_links:
        changeLinks(fault, true);
        break;
    case fault_kind::log_down:
    case fault_kind::log_slow:
    case fault_kind::log_answers_lost:
        processes.setFaults(processes.logAddress(), switches(fault.kind, true));
        break;
    case fault_kind::vm_list_down:
    case fault_kind::vm_list_omits:
        processes.setFaults(processes.vmListAddress(), switches(fault.kind, true));
        break;
    case fault_kind::engine_killed: {
        const std::lock_guard lock(m_processes);
        auto& engine = processes.program(bench_fleet::engineName(fault.target));
        expectRunning(engine.name(), engine);
        engine.kill();
        break;
    }
    case fault_kind::engine_slow:
    case fault_kind::engine_leaving:
    case fault_kind::streams_cut:
    case fault_kind::engine_silent:
        processes.setFaults(m_fleet.engines().at(fault.target), switches(fault.kind, true));
        break;
    case fault_kind::service_answers_lost:
        processes.setFaults(m_fleet.services().at(fault.target), switches(fault.kind, true));
        break;
    case fault_kind::load_burst:
        break; // part of the trace
    case fault_kind::racing_operators:
        race(fault);
        break;
    }
}

void fault_injector::end(const planned_fault& fault)
{
    auto& processes = m_fleet.processes();
    switch (fault.kind) {
    case fault_kind::kill_node:
    case fault_kind::drain_node:
        restartNode(fault.target);
        break;
    case fault_kind::pause_node: {
        const std::lock_guard lock(m_processes);
        m_fleet.node(fault.target).process->signal(SIGCONT);
        m_fleet.noteFault("resume_node", m_fleet.node(fault.target).peerAddress());
        break;
    }
    case fault_kind::partition_nodes:
    case fault_kind::delay_links:
        changeLinks(fault, false);
        break;
    case fault_kind::log_down:
    case fault_kind::log_slow:
    case fault_kind::log_answers_lost:
        processes.setFaults(processes.logAddress(), switches(fault.kind, false));
        break;
    case fault_kind::vm_list_down:
    case fault_kind::vm_list_omits:
        processes.setFaults(processes.vmListAddress(), switches(fault.kind, false));
        break;
    case fault_kind::engine_killed: {
        const std::lock_guard lock(m_processes);
        processes.restartProgram(bench_fleet::engineName(fault.target));
        break;
    }
    case fault_kind::engine_leaving:
        m_fleet.noteLive(m_fleet.engines().at(fault.target));
        processes.setFaults(m_fleet.engines().at(fault.target), switches(fault.kind, false));
        break;
    case fault_kind::engine_slow:
    case fault_kind::streams_cut:
    case fault_kind::engine_silent:
        processes.setFaults(m_fleet.engines().at(fault.target), switches(fault.kind, false));
        break;
    case fault_kind::service_answers_lost:
        processes.setFaults(m_fleet.services().at(fault.target), switches(fault.kind, false));
        break;
    case fault_kind::swallow_connections:
    case fault_kind::load_burst:
    case fault_kind::racing_operators:
        break;
    }
    print(fault, "end");
}

void fault_injector::expectRunning(const std::string& name, child_process& process)
{
    if (process.running())
        return;
    const std::lock_guard lock(m_mutex);
    ++m_crashes;
    std::cout << "crashed program=" << name << " see=" << m_fleet.processes().folder() << '/' << name << ".err" << std::endl;
}

std::size_t fault_injector::crashes()
{
    const std::lock_guard lock(m_processes);
    for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i)
        expectRunning(m_fleet.node(i).options.name, *m_fleet.node(i).process);
    for (std::size_t i = 0; i < m_fleet.engines().size(); ++i)
        expectRunning(bench_fleet::engineName(i), m_fleet.processes().program(bench_fleet::engineName(i)));
    return m_crashes;
}

void fault_injector::killNode(std::size_t index)
{
    const std::lock_guard lock(m_processes);
    auto& node = m_fleet.node(index);
    expectRunning(node.options.name, *node.process);
    m_fleet.noteFault("kill_node", node.peerAddress());
    node.process->kill();
}

void fault_injector::restartNode(std::size_t index)
{
    for (int attempt = 1;; ++attempt) {
        try {
            const std::lock_guard lock(m_processes);
            m_fleet.processes().restartNode(m_fleet.node(index));
            return;
        } catch (const error&) {
            // A node does not start while neither the log nor a peer answers.
            if (attempt == restartAttempts)
                throw;
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
    }
}

void fault_injector::drainNode(std::size_t index)
{
    auto& node = m_fleet.node(index);
    {
        const std::lock_guard lock(m_processes);
        expectRunning(node.options.name, *node.process);
        m_fleet.noteFault("drain_node", node.peerAddress());
        node.process->signal(SIGTERM);
    }
    const auto limit = std::chrono::steady_clock::now() + drainLimit;
    while (std::chrono::steady_clock::now() < limit) {
        {
            const std::lock_guard lock(m_processes);
            if (!node.process->running())
                return;
        }
        std::this_thread::sleep_for(drainPoll);
    }
    throw error(error_kind::timeout, node.options.name + " did not end its drain", "see its output in " + m_fleet.processes().folder());
}

void fault_injector::changeLinks(const planned_fault& fault, bool on)
{
    // Two nodes that are cut off together still reach each other.
    const auto inside = [&](std::size_t index) { return index == fault.target || index == fault.second; };
    const std::lock_guard lock(m_mutex);
    for (std::size_t from = 0; from < m_fleet.nodeCount(); ++from) {
        for (std::size_t to = 0; to < m_fleet.nodeCount(); ++to) {
            if (from == to)
                continue;
            auto& state = m_links[{ from, to }];
            if (fault.kind == fault_kind::partition_nodes && inside(from) != inside(to))
                state.blocked = on;
            else if (fault.kind == fault_kind::delay_links && (from == fault.target || to == fault.target))
                state.delay = on ? duration(linkDelay) : duration {};
            m_fleet.links().setLink(m_fleet.node(from).peerAddress(), m_fleet.node(to).peerAddress(), state);
        }
    }
}

std::size_t fault_injector::runningNode(std::size_t start)
{
    const std::lock_guard lock(m_processes);
    for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
        const auto index = (start + i) % m_fleet.nodeCount();
        if (m_fleet.node(index).running())
            return index;
    }
    throw error(error_kind::unavailable, "no node runs", "plan fewer faults of nodes");
}

void fault_injector::race(const planned_fault& fault)
{
    auto& processes = m_fleet.processes();
    std::size_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = m_configuration += 2;
    }
    const auto first = runningNode(fault.target);
    const auto second = runningNode(first + 1);
    const auto current = json::parse(processes.admin(m_fleet.node(first), { "GET", "/admin/config", {}, {} }).body);
    const auto base = current.at("version").to_number<std::uint64_t>();
    const auto publish = [&](std::size_t node, std::size_t change) {
        try {
            const auto id = "race-" + std::to_string(m_seed) + "-" + std::to_string(change);
            const json::object record { { "id", id }, { "author", "operator-" + std::to_string(node) }, { "base_version", base },
                { "kind", "change" }, { "document", bench_fleet::configuration(change) } };
            const auto response = processes.admin(m_fleet.node(node), { "POST", "/admin/config/records", {}, json::serialize(record) });
            const auto answer = json::parse(response.body);
            print(fault, "answer", "change=" + id + " answer=" + json::serialize(answer));
        } catch (const std::exception& failure) {
            print(fault, "answer", failure.what());
        }
    };
    std::jthread other([&] { publish(second, number); });
    publish(first, number - 1);
}

} // namespace carawaylink::bench
