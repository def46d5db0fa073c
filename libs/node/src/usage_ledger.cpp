#include "usage_ledger.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

struct counter_field {
    std::string_view name;
    std::uint64_t usage_counters::*member;
};

constexpr std::array<counter_field, 5> counterFields { {
    { "requests", &usage_counters::requests },
    { "prompt_tokens", &usage_counters::promptTokens },
    { "cached_tokens", &usage_counters::cachedTokens },
    { "output_tokens", &usage_counters::outputTokens },
    { "endpoint_us", &usage_counters::endpointMicroseconds },
} };

json::object encodeTable(const process_identity& process, const usage_table& table)
{
    json::array rows;
    for (const auto& [key, counters] : table) {
        json::object row { { "team", key.first.value }, { "tier", key.second.value } };
        for (const auto& field : counterFields)
            row[field.name] = counters.*field.member;
        rows.push_back(std::move(row));
    }
    return { { "node", process.node.value }, { "incarnation", process.run.value }, { "rows", std::move(rows) } };
}

void mergeMaximum(usage_counters& into, const usage_counters& from)
{
    for (const auto& field : counterFields)
        into.*field.member = std::max(into.*field.member, from.*field.member);
}

} // namespace

usage_ledger::usage_ledger(process_identity self)
    : m_self(std::move(self))
{
}

void usage_ledger::add(const team_id& team, tier level, const slot_release& release)
{
    auto& counters = m_tables[m_self][{ team, level }];
    counters.requests += 1;
    counters.promptTokens += static_cast<std::uint64_t>(release.promptTokens.value);
    counters.cachedTokens += static_cast<std::uint64_t>(release.cachedTokens.value);
    counters.outputTokens += static_cast<std::uint64_t>(release.outputTokens.value);
    counters.endpointMicroseconds
        += static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(release.total).count());
    m_changed = true;
}

bool usage_ledger::consumeChanged()
{
    return std::exchange(m_changed, false);
}

std::string usage_ledger::encode(bool compact) const
{
    json::array processes;
    for (const auto& [process, table] : m_tables) {
        if (compact || process == m_self)
            processes.push_back(encodeTable(process, table));
    }
    return json::serialize(json::object { { "processes", std::move(processes) } });
}

void usage_ledger::merge(std::string_view record)
{
    try {
        const auto document = json::parse(record);
        for (const auto& process : document.at("processes").as_array()) {
            const process_identity identity { node_id(std::string(process.at("node").as_string())),
                incarnation(process.at("incarnation").to_number<std::uint64_t>()) };
            for (const auto& row : process.at("rows").as_array()) {
                usage_counters counters;
                for (const auto& field : counterFields)
                    counters.*field.member = row.at(field.name).to_number<std::uint64_t>();
                const usage_key key { team_id(std::string(row.at("team").as_string())), tier(row.at("tier").to_number<std::uint8_t>()) };
                mergeMaximum(m_tables[identity][key], counters);
            }
        }
    } catch (const std::exception& failure) {
        throw error(error_kind::invalid_message, std::string("usage record is malformed: ") + failure.what(),
            "check which program appends to the stream usage");
    }
}

usage_table usage_ledger::total() const
{
    usage_table result;
    for (const auto& [process, table] : m_tables) {
        for (const auto& [key, counters] : table) {
            for (const auto& field : counterFields)
                result[key].*field.member += counters.*field.member;
        }
    }
    return result;
}

} // namespace carawaylink
