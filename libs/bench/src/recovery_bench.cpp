#include "bench/benches.h"

#include "base/error.h"
#include "bench/goodput_gap.h"
#include "bench/promise_report.h"
#include "bench_fleet.h"
#include "load/outcomes.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace carawaylink::bench {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr auto loadTime = milliseconds(95000);
constexpr auto gapTarget = milliseconds(3000);
constexpr auto leaveTarget = milliseconds(2000);
constexpr auto configTarget = milliseconds(1000);
constexpr auto readyLimit = std::chrono::seconds(15);
constexpr auto drainLimit = std::chrono::seconds(40);
constexpr auto silentLimit = std::chrono::seconds(10);
// 300 requests/s are 150 in a window of 500 ms, so that the 5% below which goodput has not recovered are 7 requests.
constexpr auto tier0Gap = std::chrono::microseconds(3333);
constexpr auto tier2Gap = std::chrono::milliseconds(25);

/// Times of one planned stop, in microseconds.
struct stop_times {
    std::string address;
    std::int64_t begin = 0;
    std::int64_t end = 0;
    bool complete = false;
};

struct recovery_times {
    std::int64_t killUs = 0;
    std::string leavingEngine;
    std::int64_t leavingUs = 0;
    std::string listedEngine;
    std::int64_t listedUs = 0;
    std::uint64_t version = 0;
    std::int64_t publishUs = 0;
    milliseconds silentDetect { 0 };
    stop_times drain;
    std::vector<stop_times> rolling;
    std::int64_t lastStepUs = 0;
};

load::trace_call makeCall(std::chrono::microseconds at, tier level, tokens prompt, tokens output, milliseconds deadline)
{
    load::trace_call call;
    call.at = std::chrono::duration_cast<milliseconds>(at);
    call.team = team_id(bench_fleet::teams()[static_cast<std::size_t>(at.count()) % bench_fleet::teams().size()]);
    call.urgency = level;
    call.service = service_id("llm");
    call.prompt = prompt;
    call.output = output;
    call.deadline = deadline;
    return call;
}

/// Evenly spaced arrivals, so that a change of goodput is never one of the arrivals.
std::vector<load::trace_call> makeTrace()
{
    std::vector<load::trace_call> calls;
    for (std::chrono::microseconds at { 0 }; at < loadTime; at += tier0Gap)
        calls.push_back(makeCall(at, tier(0), tokens(80), tokens(8), milliseconds(4000)));
    for (std::chrono::microseconds at { 0 }; at < loadTime; at += tier2Gap)
        calls.push_back(makeCall(at, tier(2), tokens(200), tokens(40), milliseconds(15000)));
    std::ranges::stable_sort(calls, {}, &load::trace_call::at);
    return calls;
}

running_node& ownerOf(bench_fleet& fleet, const std::string& service)
{
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        const auto page = fleet.processes().status(fleet.node(i));
        const auto& pools = page.at("pools").as_array();
        if (std::ranges::any_of(pools, [&](const json::value& pool) { return pool.at("service").as_string() == service; }))
            return fleet.node(i);
    }
    throw error(error_kind::not_found, "no node owns a pool of " + service, "wait until the fleet is ready");
}

class recovery_run {
public:
    explicit recovery_run(bench_fleet& fleet)
        : m_fleet(fleet)
    {
    }

    recovery_times play()
    {
        const auto origin = std::chrono::steady_clock::now();
        const auto waitUntil = [&](int seconds) { std::this_thread::sleep_until(origin + std::chrono::seconds(seconds)); };
        waitUntil(6);
        killOwner(origin + std::chrono::seconds(13));
        waitUntil(18);
        leave();
        waitUntil(22);
        publish();
        waitUntil(25);
        silence();
        waitUntil(30);
        m_times.drain = stop(ownerOf(m_fleet, "llm"));
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i)
            m_times.rolling.push_back(stop(m_fleet.node(i)));
        m_times.lastStepUs = load::historyTimeUs();
        return m_times;
    }

private:
    void step(const std::string& text) { std::cout << "step " << text << std::endl; }

    void killOwner(monotonic_time restartAt)
    {
        auto& node = ownerOf(m_fleet, "llm");
        step("kill node=" + node.options.name + " (owner of the pool of llm)");
        m_times.killUs = load::historyTimeUs();
        m_fleet.noteFault("kill_node", node.peerAddress());
        node.process->kill();
        std::this_thread::sleep_until(restartAt);
        m_fleet.processes().restartNode(node);
        m_fleet.processes().waitUntilReady(readyLimit);
    }

    void leave()
    {
        m_times.leavingEngine = m_fleet.engines().at(0);
        m_times.listedEngine = m_fleet.engines().at(3);
        step("leave engine=" + m_times.leavingEngine + " by its own sign, engine=" + m_times.listedEngine + " by the list of vms");
        m_times.leavingUs = load::historyTimeUs();
        m_fleet.processes().setFaults(m_times.leavingEngine, R"({"leaving":true})");
        m_times.listedUs = load::historyTimeUs();
        m_fleet.processes().setVms(json::serialize(json::object { { "address", m_times.listedEngine }, { "role", "endpoint" },
            { "service", "llm" }, { "state", "leaving" }, { "failure_domain", bench_fleet::domainOf(3) } }));
    }

    void publish()
    {
        m_times.publishUs = load::historyTimeUs();
        m_times.version = m_fleet.processes().publish(bench_fleet::configuration(1));
        step("publish version=" + std::to_string(m_times.version));
    }

    void silence()
    {
        auto& links = m_fleet.links();
        std::size_t swallowed = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 1; i < m_fleet.nodeCount(); ++i) {
            swallowed += links.swallow(m_fleet.node(0).peerAddress(), m_fleet.node(i).peerAddress());
            swallowed += links.swallow(m_fleet.node(i).peerAddress(), m_fleet.node(0).peerAddress());
        }
        while (links.swallowedConnections() > 0 && std::chrono::steady_clock::now() < begin + silentLimit)
            std::this_thread::sleep_for(milliseconds(5));
        m_times.silentDetect = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        step("silent connections=" + std::to_string(swallowed)
            + " closed by both nodes after ms=" + std::to_string(m_times.silentDetect.count()));
    }

    stop_times stop(running_node& node)
    {
        stop_times times;
        times.address = node.httpAddress;
        times.begin = load::historyTimeUs();
        node.process->signal(SIGTERM);
        const auto status = node.process->waitForExit(drainLimit);
        times.end = load::historyTimeUs();
        times.complete = status == 0;
        step("drain node=" + node.options.name + " ms=" + std::to_string((times.end - times.begin) / 1000)
            + " exit_status=" + std::to_string(status.value_or(-1)));
        if (!status)
            node.process->kill();
        m_fleet.processes().restartNode(node);
        m_fleet.processes().waitUntilReady(readyLimit);
        return times;
    }

    bench_fleet& m_fleet;
    recovery_times m_times;
};

/// Milliseconds from the sign to the last new work that reached the engine; 0 where none did.
std::int64_t lastWorkMs(const load::history& merged, const std::string& engine, std::int64_t signUs)
{
    std::int64_t last = signUs;
    for (const auto& record : merged.records()) {
        if (record.source == load::history_source::engine && record.event == "received" && record.endpoint == engine)
            last = std::max(last, record.timeUs);
    }
    return (last - signUs) / 1000;
}

/// Milliseconds until every node had the version, or -1 where one never did.
std::int64_t inForceMs(const load::history& merged, const recovery_times& times, std::size_t nodes)
{
    std::map<std::string, std::int64_t> first;
    for (const auto& record : merged.records()) {
        if (record.event == "config_in_force" && record.version >= static_cast<std::int64_t>(times.version))
            first.emplace(record.node, record.timeUs);
    }
    if (first.size() < nodes)
        return -1;
    const auto last = std::ranges::max_element(first, {}, [](const auto& entry) { return entry.second; });
    return (last->second - times.publishUs + 999) / 1000;
}

/// Requests at the node that broke while it stopped, up to one second after its end.
std::int64_t cutRequests(const load::history& merged, const stop_times& stop)
{
    constexpr std::int64_t afterUs = 1000000;
    return std::ranges::count_if(merged.records(), [&](const load::history_record& record) {
        return record.source == load::history_source::caller && record.event == "broken" && record.sent && record.address == stop.address
            && record.timeUs >= stop.begin && record.timeUs <= stop.end + afterUs;
    });
}

/// Prints the completions of tier 0 per 100 ms around the kill.
void printGoodput(const std::vector<std::int64_t>& completionsUs, std::int64_t killUs)
{
    constexpr std::int64_t bucketUs = 100000;
    constexpr std::int64_t first = -5;
    constexpr std::int64_t last = 20;
    std::cout << "goodput of tier 0 per 100 ms from " << first * bucketUs / 1000 << " ms on:";
    for (auto bucket = first; bucket < last; ++bucket) {
        const auto begin = killUs + bucket * bucketUs;
        std::cout << ' '
                  << std::ranges::count_if(completionsUs, [&](std::int64_t time) { return time >= begin && time < begin + bucketUs; });
    }
    std::cout << '\n';
}

} // namespace

int runRecoveryBench(const bench_options& options)
{
    requireEmpty(options.folder);
    std::cout << "folder=" << options.folder << std::endl;
    bench_fleet fleet(options, options.folder, { .services = 1 });
    const auto trace = makeTrace();
    recovery_times times;
    std::exception_ptr failure;
    std::jthread steps([&] {
        try {
            times = recovery_run(fleet).play();
        } catch (...) {
            failure = std::current_exception();
        }
    });
    fleet.offer(trace, options.seed);
    const auto loadEndUs = load::historyTimeUs();
    steps.join();
    if (failure)
        std::rethrow_exception(failure);

    const auto merged = load::history::read(fleet.processes().histories());
    std::vector<std::int64_t> completions;
    for (const auto& outcome : load::collectOutcomes(merged)) {
        if (outcome.tier == 0 && outcome.result == load::call_result::complete && outcome.inTime)
            completions.push_back(outcome.endUs);
    }
    printGoodput(completions, times.killUs);
    const auto gap = goodputGap(completions, times.killUs);
    const auto leave
        = std::max(lastWorkMs(merged, times.leavingEngine, times.leavingUs), lastWorkMs(merged, times.listedEngine, times.listedUs));
    const auto inForce = inForceMs(merged, times, fleet.nodeCount());
    const auto drainCut = cutRequests(merged, times.drain);
    std::int64_t rollingCut = 0;
    std::ranges::for_each(times.rolling, [&](const auto& stop) { rollingCut += cutRequests(merged, stop); });
    const bool underLoad = times.lastStepUs < loadEndUs;
    const bool stopped = times.drain.complete && std::ranges::all_of(times.rolling, &stop_times::complete);

    const auto report = checkHistories(merged);
    report.print(std::cout);
    if (!underLoad)
        std::cout << "the load ended before the last replacement did\n";
    const bool met = gap < gapTarget && leave < leaveTarget.count() && inForce >= 0 && inForce < configTarget.count() && drainCut == 0
        && rollingCut == 0 && stopped && underLoad && report.kept();
    std::cout << "recovery node_kill_gap_ms=" << gap.count() << " endpoint_leave_ms=" << leave << " config_in_force_ms=" << inForce
              << " drain_cut=" << drainCut << " rolling_cut=" << rollingCut << " silent_detect_ms=" << times.silentDetect.count()
              << " double_dispatch=" << report.breaches(1) << " false_not_run=" << report.breaches(4)
              << " config_reverted=" << report.breaches(8) << " requests=" << report.requests << " unknown_share=" << report.unknownShare
              << " targets_met=" << (met ? 1 : 0) << std::endl;
    return met ? 0 : 1;
}

} // namespace carawaylink::bench
