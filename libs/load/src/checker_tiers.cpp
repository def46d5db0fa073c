#include "checker_parts.h"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_map>

namespace carawaylink::load {
namespace {

// Reasons of nodes that mean a lack of capacity; the others concern limits of the team, the key or the node itself.
constexpr std::array<std::string_view, 5> capacityReasons { "deadline_unreachable", "deadline_passed", "queue_full", "team_queue_full",
    "displaced" };

// Work of a lower tier that only waits holds no slot: what it could give up is a place in the queue, which these reasons ask for.
constexpr std::array<std::string_view, 3> queueReasons { "queue_full", "team_queue_full", "displaced" };

/// One stay of a request in a queue or on an endpoint.
struct stay {
    std::int64_t begin = 0;
    std::int64_t end = INT64_MAX;
    /// When it got a slot; INT64_MAX where it never did.
    std::int64_t granted = INT64_MAX;
    std::int64_t tier = -1;
    bool displaceable = true;
    std::string service;
    record_list lines;
};

bool endsStay(const history_record& record)
{
    return record.event == "released" || record.event == "refused" || record.event == "preempted" || record.event == "cancelled";
}

class stay_reader {
public:
    stay_reader(const history& merged, const node_runs& runs)
    {
        std::unordered_map<std::string_view, std::size_t> open;
        std::unordered_map<std::string, std::int64_t> lastLine;
        for (const auto& record : merged.records()) {
            if (record.source != history_source::node)
                continue;
            lastLine[record.node] = record.timeUs;
            if (record.request.empty())
                continue;
            const auto found = open.find(record.request);
            if (record.event == "queued") {
                m_queued[record.request] = &record;
                if (found == open.end()) {
                    open[record.request] = m_stays.size();
                    m_stays.push_back(
                        { record.timeUs, INT64_MAX, INT64_MAX, record.tier, !record.nonIdempotent, record.service, { &record } });
                }
            } else if (found == open.end() && record.event == "granted" && !record.service.empty()) {
                // A new owner learned of a request that its predecessor had granted.
                open[record.request] = m_stays.size();
                m_stays.push_back(
                    { record.timeUs, INT64_MAX, record.timeUs, record.tier, !record.nonIdempotent, record.service, { &record } });
            } else if (found != open.end() && (record.event == "granted" || endsStay(record))) {
                auto& current = m_stays[found->second];
                current.lines.push_back(&record);
                if (record.event == "granted")
                    current.granted = std::min(current.granted, record.timeUs);
                if (endsStay(record)) {
                    current.end = record.timeUs;
                    open.erase(found);
                }
            }
        }
        for (const auto& [request, position] : open)
            m_stays[position].end = endOfNode(*m_stays[position].lines.back(), runs, lastLine);
    }

    const std::vector<stay>& stays() const { return m_stays; }
    const history_record* queued(std::string_view request) const
    {
        const auto found = m_queued.find(request);
        return found == m_queued.end() ? nullptr : found->second;
    }

private:
    /// Last time at which a request without an end was certainly still known to the node that wrote its last line.
    static std::int64_t endOfNode(
        const history_record& last, const node_runs& runs, const std::unordered_map<std::string, std::int64_t>& lastLine)
    {
        const auto node = runs.all().find(last.node);
        if (node != runs.all().end()) {
            for (const auto& run : node->second) {
                if (run.begin <= last.timeUs && last.timeUs <= run.end && run.end != INT64_MAX)
                    return run.end;
            }
        }
        return std::max(last.timeUs, lastLine.at(last.node));
    }

    std::vector<stay> m_stays;
    std::unordered_map<std::string_view, const history_record*> m_queued;
};

} // namespace

promise_result checkTierOrder(const history& merged, const node_runs& runs, const checker_settings& settings)
{
    verdict result(2);
    const auto tolerance = std::chrono::duration_cast<std::chrono::microseconds>(settings.inversionTolerance).count();
    const stay_reader reader(merged, runs);
    const auto& stays = reader.stays();

    // Sweep over the refusals in order of time; a stay enters when it begins and is dropped once it has ended.
    std::unordered_map<std::string, std::set<std::pair<std::int64_t, std::size_t>>> active;
    std::size_t next = 0;
    for (const auto& record : merged.records()) {
        while (next < stays.size() && stays[next].begin <= record.timeUs) {
            active[stays[next].service].emplace(stays[next].end, next);
            ++next;
        }
        if (record.source != history_source::node || record.event != "refused" || record.bestCaseMs < 0 || record.tier < 0)
            continue;
        if (std::ranges::find(capacityReasons, record.reason) == capacityReasons.end())
            continue;
        // A request that waited until it no longer fitted is judged by the deadline that it was queued with.
        const auto* queued = reader.queued(record.request);
        const auto deadline = std::max(record.deadlineInMs, queued == nullptr ? record.deadlineInMs : queued->deadlineInMs);
        if (record.bestCaseMs > deadline)
            continue;
        result.check();
        // A slot helps where the refused request could still have finished in it: lower work that never got one, or got it too
        // late for that, took nothing from the request.
        const bool asksForQueue = std::ranges::find(queueReasons, record.reason) != queueReasons.end();
        const auto latestStart = record.timeUs + (record.deadlineInMs - record.bestCaseMs) * 1000;
        auto& candidates = active[record.service];
        while (!candidates.empty() && candidates.begin()->first < record.timeUs)
            candidates.erase(candidates.begin());
        for (auto item = candidates.upper_bound({ record.timeUs + tolerance, SIZE_MAX }); item != candidates.end(); ++item) {
            const auto& lower = stays[item->second];
            if (!asksForQueue && lower.granted > latestStart)
                continue;
            if (lower.tier <= record.tier || !lower.displaceable || lower.begin >= record.timeUs - tolerance)
                continue;
            auto trace = lower.lines;
            trace.push_back(&record);
            if (queued != nullptr)
                trace.push_back(queued);
            result.breach("service=" + record.service + " refused=" + record.request + " tier=" + std::to_string(record.tier)
                    + " lower=" + lower.lines.front()->request + " lower_tier=" + std::to_string(lower.tier),
                trace);
            break;
        }
    }
    return result.result();
}

} // namespace carawaylink::load
