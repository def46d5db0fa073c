#include "placement_query.h"

#include "base/time.h"

#include <charconv>
#include <sstream>

namespace carawaylink::gateway {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr std::int64_t defaultTargetMs = 1000;
// A request may take this much longer than its target.
constexpr auto deadlineAfterTarget = std::chrono::seconds(30);
// Larger numbers are errors of writing, and sums of them must not overflow.
constexpr std::int64_t maxNumber = 1'000'000'000;

struct query_fault {
    std::string_view field;
    std::string_view remedy;
};

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = status == std::errc {} && end == text.data() + text.size();
    return isNumber && value >= 0 && value <= maxNumber ? std::optional(value) : std::nullopt;
}

std::int64_t numberOf(const http_request& query, std::string_view field, std::int64_t absent)
{
    const auto text = query.query(field);
    if (!text)
        return absent;
    if (const auto value = parseNumber(*text))
        return *value;
    throw query_fault { field, "give a number from 0 to 1000000000" };
}

std::vector<placement::named_part> partsOf(const http_request& query)
{
    std::vector<placement::named_part> parts;
    std::istringstream list(query.query("parts").value_or(""));
    for (std::string entry; std::getline(list, entry, ',');) {
        const auto colon = entry.find(':');
        const auto length = colon == std::string::npos ? std::nullopt : parseNumber(std::string_view(entry).substr(colon + 1));
        if (!length)
            throw query_fault { "parts", "give ID:TOKENS for each part, separated by commas" };
        parts.push_back({ entry.substr(0, colon), tokens { *length } });
    }
    return parts;
}

placement::waiting_request requestOf(const http_request& query)
{
    const auto now = std::chrono::steady_clock::now();
    placement::waiting_request request;
    request.prompt = tokens { numberOf(query, "prompt", 0) };
    request.output = tokens { numberOf(query, "output", 0) };
    request.arrived = now;
    request.target = now + std::chrono::milliseconds(numberOf(query, "target_ms", defaultTargetMs));
    request.deadline = request.target + deadlineAfterTarget;
    request.promptParts = placement::significantParts(partsOf(query));
    return request;
}

void writePool(std::ostream& out, std::size_t number, const pool_explanation& pool, const node_id& self)
{
    out << "pool=" << number << " owner=" << pool.owner.value_or(node_id {}) << " asked=" << self << " decides=" << pool.view.has_value();
    if (!pool.view) {
        out << '\n';
        return;
    }
    out << " nodes=" << pool.view->nodes << " view_age_ms=" << wholeMilliseconds(pool.view->age) << " late=" << pool.view->placement.isLate
        << '\n';
    for (const auto& entry : pool.view->placement.candidates) {
        out << "pool=" << number << " replica=" << entry.replica << " score=" << entry.score
            << " expected_first_ms=" << wholeMilliseconds(entry.expectedFirstEvent)
            << " prefill_wait_ms=" << wholeMilliseconds(entry.prefillWait) << " kept_tokens=" << entry.kept << " running=" << entry.running
            << " slots=" << entry.slots << " memory=" << entry.memory
            << " obstacle=" << (entry.obstacle ? placement::placementObstacleNames.name(*entry.obstacle) : "none") << '\n';
    }
}

http_response textResponse(unsigned status, std::string text)
{
    return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
}

} // namespace

http_response answerPlacementQuery(const http_request& query, const slot_coordinator& slots, const node_id& self)
{
    try {
        const auto pools = slots.explain(service_id { query.query("service").value_or("") }, requestOf(query));
        if (pools.empty())
            throw query_fault { "service", "name a service of the configuration that has endpoints" };
        std::ostringstream text;
        for (std::size_t number = 0; number < pools.size(); ++number)
            writePool(text, number, pools[number], self);
        return textResponse(statusOk, text.str());
    } catch (const query_fault& fault) {
        std::ostringstream text;
        text << "field=" << fault.field << " value=\"" << query.query(fault.field).value_or("") << "\" remedy=\"" << fault.remedy << "\"\n";
        return textResponse(statusBadRequest, text.str());
    }
}

} // namespace carawaylink::gateway
