#include "checker_parts.h"

#include <algorithm>
#include <set>

namespace carawaylink::load {
namespace {

// A node's exit may reach a caller a moment after the node wrote drain_end.
constexpr std::int64_t exitNoticeUs = 1'000'000;

std::string_view ipOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

bool isWork(const history_record& record)
{
    return (record.source == history_source::engine && (record.event == "received" || record.event == "refused"))
        || (record.source == history_source::service && record.event == "executed");
}

std::int64_t microseconds(std::chrono::milliseconds value)
{
    return std::chrono::microseconds(value).count();
}

} // namespace

node_runs::node_runs(const history& merged)
{
    for (const auto& record : merged.records()) {
        if (record.node.empty())
            continue;
        if (record.source == history_source::fault) {
            if (record.event.starts_with("kill")) {
                current(record).end = record.timeUs;
                current(record).killed = true;
            } else if (record.event.starts_with("pause")) {
                current(record).pauses.emplace_back(record.timeUs, INT64_MAX);
            } else if (record.event.starts_with("resume") && !current(record).pauses.empty()) {
                current(record).pauses.back().second = record.timeUs;
            }
            continue;
        }
        if (record.source != history_source::node)
            continue;
        if (!record.address.empty())
            m_nodeByAddress[record.address] = record.node;
        if (record.event == "started") {
            auto& runs = m_runs[record.node];
            if (!runs.empty())
                runs.back().end = std::min(runs.back().end, record.timeUs);
            runs.push_back({ record.timeUs });
        } else if (record.event == "drain_begin") {
            current(record).drainBegin = record.timeUs;
            current(record).drainRecord = &record;
        } else if (record.event == "drain_end") {
            current(record).drainEnd = record.timeUs;
            current(record).end = record.timeUs;
        } else {
            current(record);
        }
    }
}

node_runs::run& node_runs::current(const history_record& record)
{
    auto& runs = m_runs[record.node];
    if (runs.empty())
        runs.push_back({ record.timeUs });
    return runs.back();
}

std::string node_runs::nodeOfAddress(const std::string& address) const
{
    if (const auto found = m_nodeByAddress.find(address); found != m_nodeByAddress.end())
        return found->second;
    if (m_runs.contains(address))
        return address;
    std::string result;
    for (const auto& [node, runs] : m_runs) {
        if (ipOf(node) != ipOf(address))
            continue;
        if (!result.empty())
            return {};
        result = node;
    }
    return result;
}

promise_result checkLeaving(const history& merged, const checker_settings& settings)
{
    verdict result(6);
    const auto limit = microseconds(settings.leavingLimit);
    std::map<std::string, const history_record*> leaving;
    for (const auto& record : merged.records()) {
        if (record.source != history_source::engine && record.source != history_source::service)
            continue;
        if (record.event == "leaving") {
            leaving.emplace(record.endpoint, &record);
            continue;
        }
        if (record.event == "live") {
            leaving.erase(record.endpoint);
            continue;
        }
        const auto found = leaving.find(record.endpoint);
        if (found == leaving.end() || !isWork(record))
            continue;
        result.check();
        const auto delay = record.timeUs - found->second->timeUs;
        if (delay > limit)
            result.breach("endpoint=" + record.endpoint + " after_ms=" + std::to_string(delay / 1000), { found->second, &record });
    }
    return result.result();
}

promise_result checkDrains(const history& merged, const node_runs& runs)
{
    verdict result(7);
    std::map<std::pair<std::string_view, std::int64_t>, const history_record*> sent;
    std::set<std::string_view> preempted;
    for (const auto& record : merged.records()) {
        if (record.source == history_source::node && record.event == "preempted")
            preempted.insert(record.request);
    }
    std::map<std::string, std::string> nodes;
    for (const auto& record : merged.records()) {
        if (record.source != history_source::caller)
            continue;
        if (record.event == "sent") {
            sent[{ record.call, record.attempt }] = &record;
            continue;
        }
        if (record.address.empty() || (record.event != "answered" && record.event != "refused" && record.event != "broken"))
            continue;
        auto [node, added] = nodes.try_emplace(record.address);
        if (added)
            node->second = runs.nodeOfAddress(record.address);
        const auto home = runs.all().find(node->second);
        const auto begin = sent.find({ record.call, record.attempt });
        if (home == runs.all().end() || begin == sent.end())
            continue;
        for (const auto& run : home->second) {
            // Attempts that were in flight at some moment of the drain; without a drain_end it lasts as long as the run.
            const auto drainEnd = std::min(run.drainEnd, run.end);
            if (run.drainBegin == INT64_MAX || begin->second->timeUs >= drainEnd || record.timeUs < run.drainBegin)
                continue;
            result.check();
            const bool interrupted = record.event == "broken" && record.sent && !preempted.contains(record.request);
            const bool during = drainEnd == INT64_MAX || record.timeUs <= drainEnd + exitNoticeUs;
            if (interrupted && during && !run.killed) {
                result.breach("node=" + node->second + " call=" + record.call + " reason=" + record.reason,
                    { run.drainRecord, begin->second, &record });
            }
        }
    }
    return result.result();
}

namespace {

/// One version of the configuration as the nodes report it.
struct version_report {
    const history_record* first = nullptr;
    std::map<std::string, const history_record*> byDigest;
};

bool reachesInTime(const record_list& reports, std::int64_t version, std::int64_t from, std::int64_t until)
{
    return std::ranges::any_of(
        reports, [&](const auto* record) { return record->timeUs >= from && record->timeUs <= until && record->version >= version; });
}

} // namespace

promise_result checkConfiguration(const history& merged, const node_runs& runs, const checker_settings& settings)
{
    verdict result(8);
    const auto limit = microseconds(settings.configLimit);
    std::map<std::string, record_list> reports;
    std::map<std::int64_t, version_report> versions;
    for (const auto& record : merged.records()) {
        if (record.source != history_source::node || record.event != "config_in_force")
            continue;
        auto& earlier = reports[record.node];
        if (!earlier.empty() && record.version < earlier.back()->version) {
            result.breach("node=" + record.node + " fault=version_decreased from=" + std::to_string(earlier.back()->version)
                    + " to=" + std::to_string(record.version),
                { earlier.back(), &record });
        }
        earlier.push_back(&record);
        auto& version = versions[record.version];
        if (version.first == nullptr)
            version.first = &record;
        version.byDigest.emplace(record.digest, &record);
    }
    const auto historyEnd = merged.records().empty() ? 0 : merged.records().back().timeUs;
    for (const auto& [number, version] : versions) {
        result.check();
        if (version.byDigest.size() > 1) {
            const auto* one = version.byDigest.begin()->second;
            const auto* other = std::next(version.byDigest.begin())->second;
            result.breach("version=" + std::to_string(number) + " fault=two_digests", { one, other });
        }
        const auto accepted = version.first->timeUs;
        for (const auto& [node, runsOfNode] : runs.all()) {
            for (const auto& run : runsOfNode) {
                // Only a node that ran during the whole time allowed can be late. Time stopped by a pause does not count.
                auto until = accepted + limit;
                for (const auto& [pause, resume] : run.pauses) {
                    if (pause <= until && resume >= accepted)
                        until = resume == INT64_MAX ? INT64_MAX : std::max(until, resume + limit);
                }
                if (run.begin > accepted || until > std::min({ run.end, run.drainBegin, historyEnd }))
                    continue;
                if (reachesInTime(reports[node], number, run.begin, until))
                    continue;
                record_list trace { version.first };
                for (const auto* record : reports[node]) {
                    if (record->timeUs >= run.begin && (record->timeUs <= until || trace.size() < 3))
                        trace.push_back(record);
                }
                result.breach("version=" + std::to_string(number) + " fault=not_in_force node=" + node
                        + " limit_ms=" + std::to_string(settings.configLimit.count()),
                    trace);
            }
        }
    }
    return result.result();
}

} // namespace carawaylink::load
