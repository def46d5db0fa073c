#include "load/checker.h"

#include "checker_parts.h"

#include <algorithm>

namespace carawaylink::load {
namespace {

bool isCaller(const history_record& record, std::string_view event)
{
    return record.source == history_source::caller && record.event == event;
}

/// Requests that engines took. A receipt that the same endpoint refused is left out: the engine certified that the request
/// did not run, and a node may offer it to another endpoint.
record_list takenReceipts(const record_list& records)
{
    record_list result;
    for (const auto* record : records) {
        if (record->source != history_source::engine)
            continue;
        if (record->event == "received") {
            result.push_back(record);
        } else if (record->event == "refused") {
            const auto taken = std::find_if(result.rbegin(), result.rend(),
                [&](const auto* receipt) { return receipt->endpoint == record->endpoint && receipt->request == record->request; });
            if (taken != result.rend())
                result.erase(std::next(taken).base());
        }
    }
    return result;
}

bool isExecution(const history_record& record)
{
    return (record.source == history_source::service && record.event == "executed")
        || (record.source == history_source::engine && record.event == "started");
}

bool isEnd(const history_record& record)
{
    return isCaller(record, "answered") || isCaller(record, "refused") || isCaller(record, "broken");
}

template <typename Condition> record_list select(const record_list& records, Condition condition)
{
    record_list result;
    std::ranges::copy_if(records, std::back_inserter(result), [&](const history_record* record) { return condition(*record); });
    return result;
}

/// The lines of one call that show where it went: what the caller sent, what nodes dispatched, and the given ones.
record_list callTrace(const record_index& index, const record_list& records, record_list shown)
{
    std::vector<std::string_view> requests;
    for (const auto* record : records) {
        if (isCaller(*record, "sent"))
            shown.push_back(record);
        if (!record->request.empty() && std::ranges::find(requests, record->request) == requests.end())
            requests.push_back(record->request);
    }
    for (const auto& request : requests) {
        const auto found = index.nodeByRequest.find(request);
        if (found == index.nodeByRequest.end())
            continue;
        std::ranges::copy_if(found->second, std::back_inserter(shown), [](const auto* record) { return record->event == "dispatched"; });
    }
    return shown;
}

} // namespace

void verdict::breach(const std::string& detail, record_list trace)
{
    ++m_result.breaches;
    std::ranges::sort(trace);
    trace.erase(std::unique(trace.begin(), trace.end()), trace.end());
    std::ranges::stable_sort(trace, {}, &history_record::timeUs);
    if (m_result.breaches > 1 && trace.size() >= m_result.trace.size())
        return;
    m_result.detail = detail;
    m_result.trace.clear();
    std::ranges::transform(trace, std::back_inserter(m_result.trace), [](const auto* record) { return std::string(record->line); });
}

record_index::record_index(const history& merged)
{
    for (const auto& record : merged.records()) {
        if (!record.call.empty())
            byCall[record.call].push_back(&record);
        if (record.source == history_source::node && !record.request.empty())
            nodeByRequest[record.request].push_back(&record);
    }
}

promise_result checkSingleDispatch(const record_index& index)
{
    verdict result(1);
    for (const auto& [call, records] : index.byCall) {
        const auto receipts = takenReceipts(records);
        if (receipts.empty())
            continue;
        result.check();
        if (receipts.size() > 1) {
            result.breach("call=" + std::string(call) + " received_by_engines=" + std::to_string(receipts.size()),
                callTrace(index, records, receipts));
        }
    }
    return result.result();
}

promise_result checkWholeAnswers(const record_index& index)
{
    verdict result(3);
    for (const auto& [call, records] : index.byCall) {
        for (const auto* end :
            select(records, [](const auto& record) { return isCaller(record, "answered") || isCaller(record, "broken"); })) {
            result.check();
            std::string fault;
            if (!end->own)
                fault = "foreign_tokens";
            else if (!end->ordered)
                fault = "gap_or_repetition";
            else if (end->event == "answered" && !end->whole)
                fault = "partial_answer_closed_as_whole";
            else if (end->event == "answered" && end->expectedTokens >= 0 && end->tokens != end->expectedTokens)
                fault = "wrong_token_count";
            if (fault.empty())
                continue;
            const auto trace = select(records, [&](const auto& record) {
                return &record == end || (isCaller(record, "sent") && record.attempt == end->attempt)
                    || (record.source == history_source::engine && (record.event == "received" || record.event == "finished"));
            });
            result.breach("call=" + std::string(call) + " attempt=" + std::to_string(end->attempt) + " fault=" + fault, trace);
        }
    }
    return result.result();
}

promise_result checkNotRun(const record_index& index)
{
    verdict result(4);
    for (const auto& [call, records] : index.byCall) {
        const auto ends = select(records, isEnd);
        if (ends.empty() || ends.back()->event != "refused" || ends.back()->ran != "no")
            continue;
        // Attempts of a repeatable call without a ticket are separate requests to the fleet. "Not run" then speaks of the
        // last one, and can only be judged where every earlier attempt certainly did not run.
        const bool linked = std::ranges::any_of(records, [](const auto* record) {
            return record->source == history_source::caller && (!record->ticket.empty() || !record->idempotent);
        });
        const bool earlierMayHaveRun
            = std::any_of(ends.begin(), ends.end() - 1, [](const auto* record) { return record->sent && record->ran != "no"; });
        if (!linked && earlierMayHaveRun)
            continue;
        result.check();
        auto arrivals = takenReceipts(records);
        std::ranges::copy(select(records, isExecution), std::back_inserter(arrivals));
        if (arrivals.empty())
            continue;
        const auto endpoint = arrivals.front()->endpoint;
        auto trace = callTrace(index, records, { arrivals.front() });
        std::ranges::copy(ends, std::back_inserter(trace));
        result.breach("call=" + std::string(call) + " told=not_run endpoint=" + endpoint, trace);
    }
    return result.result();
}

promise_result checkSingleExecution(const record_index& index)
{
    verdict result(5);
    for (const auto& [call, records] : index.byCall) {
        const bool once = std::ranges::any_of(
            records, [](const auto* record) { return record->source == history_source::caller && !record->idempotent; });
        const auto executions = select(records, isExecution);
        if (!once || executions.empty())
            continue;
        result.check();
        if (executions.size() > 1) {
            result.breach(
                "call=" + std::string(call) + " executed=" + std::to_string(executions.size()), callTrace(index, records, executions));
        }
    }
    return result.result();
}

std::array<promise_result, 8> checkPromises(const history& merged, const checker_settings& settings)
{
    const record_index index(merged);
    const node_runs runs(merged);
    return { checkSingleDispatch(index), checkTierOrder(merged, runs, settings), checkWholeAnswers(index), checkNotRun(index),
        checkSingleExecution(index), checkLeaving(merged, settings), checkDrains(merged, runs),
        checkConfiguration(merged, runs, settings) };
}

std::string promiseText(const promise_result& result)
{
    auto text = "P" + std::to_string(result.number);
    if (result.kept())
        return text + " ok checked=" + std::to_string(result.checked) + "\n";
    text += " breach checked=" + std::to_string(result.checked) + " breaches=" + std::to_string(result.breaches) + " " + result.detail
        + "\n";
    for (const auto& line : result.trace)
        text += line + "\n";
    return text;
}

} // namespace carawaylink::load
