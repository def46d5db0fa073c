#include "load/fairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <unordered_map>

namespace carawaylink::load {
namespace {

// Shorter windows favour large teams: the window in which a small team's only waiting request is served is not one in which
// it waits throughout.
constexpr std::int64_t windowUs = 5'000'000;
constexpr std::int64_t backloggedUs = windowUs / 10 * 9;
// Shorter waits are the passage through a queue. At 1,000 calls/s their union fills every window of an idle fleet.
constexpr std::int64_t shortestBacklogUs = 50'000;

using interval = std::pair<std::int64_t, std::int64_t>;

struct team_service {
    std::vector<interval> waiting;
    std::map<std::int64_t, double> served;
};
using group_key = std::pair<std::string, std::int64_t>;
using team_map = std::map<std::string, team_service>;
using group_map = std::map<group_key, team_map>;

/// Splits an interval at the window bounds and passes (window, length) of each part.
template <typename Visit> void forEachWindow(interval span, Visit visit)
{
    for (auto from = span.first; from < span.second;) {
        const auto window = from / windowUs;
        const auto until = std::min(span.second, (window + 1) * windowUs);
        visit(window, until - from);
        from = until;
    }
}

std::map<std::int64_t, std::int64_t> coverage(std::vector<interval> intervals)
{
    std::ranges::sort(intervals);
    std::map<std::int64_t, std::int64_t> result;
    std::int64_t covered = 0;
    for (auto [from, until] : intervals) {
        from = std::max(from, covered);
        forEachWindow({ from, until }, [&](std::int64_t window, std::int64_t length) { result[window] += length; });
        covered = std::max(covered, until);
    }
    return result;
}

/// Adds the times that requests spent in the queues of nodes and engines.
void addWaiting(const history& merged, const std::vector<call_outcome>& outcomes, group_map& groups)
{
    std::unordered_map<std::string_view, const call_outcome*> byCall;
    for (const auto& outcome : outcomes)
        byCall[outcome.call] = &outcome;
    const auto add = [&](const std::string& service, std::int64_t tier, const std::string& team, interval waited) {
        if (waited.second - waited.first >= shortestBacklogUs)
            groups[{ service, tier }][team].waiting.push_back(waited);
    };
    std::map<std::pair<std::string_view, std::string_view>, const history_record*> queued;
    for (const auto& record : merged.records()) {
        if (record.request.empty() || (record.source != history_source::node && record.source != history_source::engine))
            continue;
        // The queue of a node has no endpoint; engines are told apart by theirs.
        const bool atNode = record.source == history_source::node;
        const std::pair<std::string_view, std::string_view> key { atNode ? std::string_view() : record.endpoint, record.request };
        if (record.event == (atNode ? "queued" : "received")) {
            queued.emplace(key, &record);
            continue;
        }
        const auto found = queued.find(key);
        if (found == queued.end())
            continue;
        const auto& begin = *found->second;
        const interval waited { begin.timeUs, record.timeUs };
        if (atNode)
            add(begin.service, begin.tier, begin.team, waited);
        else if (const auto outcome = byCall.find(begin.call); outcome != byCall.end())
            add(outcome->second->service, outcome->second->tier, outcome->second->team, waited);
        queued.erase(found);
    }
}

/// Charges the work of each call to the window of its first token, as the fair queue charges it at the grant.
void addServed(const history& merged, const std::vector<call_outcome>& outcomes, group_map& groups)
{
    std::unordered_map<std::string_view, std::int64_t> cached;
    for (const auto& record : merged.records()) {
        if (record.source == history_source::engine && record.event == "first_token")
            cached[record.call] = std::max<std::int64_t>(0, record.cachedTokens);
    }
    for (const auto& outcome : outcomes) {
        if (outcome.firstTokenUs < 0)
            continue;
        const auto found = cached.find(outcome.call);
        const auto work = outcome.promptTokens - (found == cached.end() ? 0 : found->second) + outcome.tokens;
        groups[{ outcome.service, outcome.tier }][outcome.team].served[(outcome.arrivalUs + outcome.firstTokenUs) / windowUs]
            += static_cast<double>(work);
    }
}

struct group_result {
    std::optional<double> index;
    double served = 0;
    std::int64_t windows = 0;
};

group_result measureGroup(const team_map& teams, const std::map<std::string, double>& weights)
{
    std::map<std::int64_t, std::vector<std::string>> backlogged;
    for (const auto& [team, service] : teams) {
        for (const auto& [window, length] : coverage(service.waiting)) {
            if (length >= backloggedUs)
                backlogged[window].push_back(team);
        }
    }
    std::map<std::string, std::pair<double, std::int64_t>> shares;
    group_result result;
    for (const auto& [window, names] : backlogged) {
        if (names.size() < 2)
            continue;
        ++result.windows;
        for (const auto& name : names) {
            const auto& served = teams.at(name).served;
            const auto found = served.find(window);
            const auto amount = found == served.end() ? 0.0 : found->second;
            shares[name].first += amount;
            ++shares[name].second;
            result.served += amount;
        }
    }
    std::vector<double> rates;
    for (const auto& [name, share] : shares) {
        const auto weight = weights.find(name);
        rates.push_back(share.first / static_cast<double>(share.second) / (weight == weights.end() ? 1.0 : weight->second));
    }
    result.index = jainIndex(rates);
    return result;
}

} // namespace

std::optional<double> jainIndex(const std::vector<double>& values)
{
    const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    const auto squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    if (values.size() < 2 || squares <= 0)
        return std::nullopt;
    return sum * sum / (static_cast<double>(values.size()) * squares);
}

std::optional<fairness> weightedJain(
    const history& merged, const std::vector<call_outcome>& outcomes, const std::map<std::string, double>& weights)
{
    group_map groups;
    addWaiting(merged, outcomes, groups);
    addServed(merged, outcomes, groups);
    double sum = 0;
    double served = 0;
    std::int64_t windows = 0;
    for (const auto& [key, teams] : groups) {
        const auto group = measureGroup(teams, weights);
        if (!group.index)
            continue;
        sum += *group.index * group.served;
        served += group.served;
        windows += group.windows;
    }
    return served > 0 ? std::optional(fairness { sum / served, windows }) : std::nullopt;
}

} // namespace carawaylink::load
