#include "load/outcomes.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace carawaylink::load {
namespace {

bool isCorrect(const history_record& record)
{
    return record.whole && record.own && record.ordered && (record.expectedTokens < 0 || record.tokens == record.expectedTokens);
}

void applyEnd(call_outcome& outcome, const history_record& record)
{
    outcome.endUs = record.timeUs;
    outcome.latencyUs = record.latencyUs;
    outcome.firstTokenUs = record.firstTokenUs;
    outcome.tokens = record.tokens;
    if (record.latencyUs >= 0)
        outcome.arrivalUs = record.timeUs - record.latencyUs;
    outcome.refused = record.event == "refused";
    if (record.event == "answered")
        outcome.result = isCorrect(record) ? call_result::complete : call_result::wrong;
    else
        outcome.result = record.ran == "no" ? call_result::not_run : call_result::unknown;
    outcome.inTime = outcome.result == call_result::complete && (record.deadlineMs < 0 || record.latencyUs <= record.deadlineMs * 1000);
}

/// One request on one endpoint.
struct engine_run {
    const call_outcome* outcome = nullptr;
    std::string_view endpoint;
    std::int64_t startedUs = -1;
    std::int64_t firstTokenUs = -1;
    std::int64_t prompt = 0;
    std::int64_t cached = 0;
    std::int64_t reported = -1;

    std::int64_t computed() const { return reported >= 0 ? reported : std::max<std::int64_t>(0, prompt - cached); }
};

/// A time during which an endpoint provably held so many tokens of a prefix.
struct holding {
    std::string_view endpoint;
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::int64_t tokens = 0;
};

std::vector<holding> findHoldings(const std::vector<const engine_run*>& runs)
{
    std::vector<holding> result;
    std::map<std::string_view, const engine_run*> previous;
    for (const auto* run : runs) {
        auto& earlier = previous[run->endpoint];
        if (earlier != nullptr && earlier->firstTokenUs >= 0 && earlier->firstTokenUs <= run->startedUs && run->cached > 0)
            result.push_back(
                { run->endpoint, earlier->firstTokenUs, run->startedUs, std::min(earlier->outcome->prefixTokens, run->cached) });
        earlier = run;
    }
    return result;
}

std::int64_t repeatedTokens(const engine_run& run, const std::vector<holding>& holdings)
{
    std::int64_t held = 0;
    for (const auto& item : holdings) {
        if (item.endpoint != run.endpoint && item.from <= run.startedUs && run.startedUs <= item.until)
            held = std::max(held, item.tokens);
    }
    return std::clamp<std::int64_t>(std::min(held, run.outcome->prefixTokens) - run.cached, 0, run.computed());
}

} // namespace

std::vector<call_outcome> collectOutcomes(const history& merged)
{
    std::unordered_map<std::string_view, std::size_t> positions;
    std::vector<call_outcome> outcomes;
    for (const auto& record : merged.records()) {
        if (record.source != history_source::caller || record.call.empty())
            continue;
        const auto [position, added] = positions.try_emplace(record.call, outcomes.size());
        if (added) {
            outcomes.emplace_back();
            auto& outcome = outcomes.back();
            outcome.call = record.call;
            outcome.team = record.team;
            outcome.service = record.service;
            outcome.tier = record.tier;
            outcome.arrivalUs = record.timeUs;
            outcome.endUs = record.timeUs;
        }
        auto& outcome = outcomes[position->second];
        if (record.event == "sent") {
            ++outcome.attempts;
            outcome.promptTokens = record.promptTokens;
            outcome.prefix = record.prefix;
            outcome.prefixTokens = record.prefixTokens;
        } else {
            applyEnd(outcome, record);
        }
    }
    std::ranges::stable_sort(outcomes, {}, &call_outcome::arrivalUs);
    return outcomes;
}

std::vector<prefill_use> collectPrefills(const history& merged, const std::vector<call_outcome>& outcomes)
{
    std::unordered_map<std::string_view, const call_outcome*> byCall;
    for (const auto& outcome : outcomes)
        byCall[outcome.call] = &outcome;

    std::map<std::pair<std::string_view, std::string_view>, engine_run> runs;
    for (const auto& record : merged.records()) {
        if (record.source != history_source::engine || record.call.empty())
            continue;
        const auto outcome = byCall.find(record.call);
        if (outcome == byCall.end())
            continue;
        auto& run = runs[{ record.endpoint, record.request }];
        run.outcome = outcome->second;
        run.endpoint = record.endpoint;
        run.prompt = std::max(run.prompt, record.promptTokens);
        run.cached = std::max(run.cached, record.cachedTokens);
        // A started event precedes the work; an endpoint that dies after it reports no figure for what it computed.
        if (record.event != "started" && record.event != "received")
            run.reported = std::max(run.reported, record.prefilledTokens);
        if (record.event == "started")
            run.startedUs = record.timeUs;
        else if (record.event == "first_token")
            run.firstTokenUs = record.timeUs;
    }

    std::map<std::pair<std::string_view, std::string_view>, std::vector<const engine_run*>> byPrefix;
    std::vector<const engine_run*> started;
    for (const auto& [key, run] : runs) {
        if (run.startedUs < 0)
            continue;
        started.push_back(&run);
        if (!run.outcome->prefix.empty())
            byPrefix[{ run.outcome->service, run.outcome->prefix }].push_back(&run);
    }
    std::unordered_map<const engine_run*, std::int64_t> repeated;
    for (auto& [prefix, sharing] : byPrefix) {
        std::ranges::stable_sort(sharing, {}, &engine_run::startedUs);
        const auto holdings = findHoldings(sharing);
        for (const auto* run : sharing)
            repeated[run] = repeatedTokens(*run, holdings);
    }

    std::vector<prefill_use> uses;
    for (const auto* run : started) {
        prefill_use use { run->startedUs, run->outcome->service, run->outcome->tier, run->computed() };
        if (run->outcome->result != call_result::complete)
            use.unfinished = use.computed;
        else if (const auto found = repeated.find(run); found != repeated.end())
            use.repeated = found->second;
        uses.push_back(std::move(use));
    }
    std::ranges::stable_sort(uses, {}, &prefill_use::timeUs);
    return uses;
}

} // namespace carawaylink::load
