#include "load/trace.h"

#include "base/error.h"
#include "json_fields.h"

#include <algorithm>
#include <fstream>
#include <istream>
#include <limits>
#include <ostream>

namespace carawaylink::load {
namespace {

class line_reader {
public:
    line_reader(const boost::json::object& object, std::string where)
        : m_object(object)
        , m_where(std::move(where))
    {
    }

    std::string text(std::string_view key) const
    {
        const auto* value = m_object.if_contains(key);
        if (value == nullptr || !value->is_string() || value->get_string().empty())
            fail(key, "must be a non-empty string");
        return std::string(value->get_string());
    }

    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high) const
    {
        const auto* value = m_object.if_contains(key);
        if (value == nullptr || !value->is_int64() || value->get_int64() < low || value->get_int64() > high)
            fail(key, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return value->get_int64();
    }

private:
    [[noreturn]] void fail(std::string_view key, const std::string& rule) const
    {
        throw error(error_kind::invalid_argument, m_where + ": field " + std::string(key) + " " + rule, "correct the line of the trace");
    }

    const boost::json::object& m_object;
    std::string m_where;
};

} // namespace

std::vector<trace_call> readTrace(std::istream& in, const std::string& name)
{
    constexpr std::int64_t day = 86'400'000;
    constexpr std::int64_t manyTokens = 10'000'000;
    std::vector<trace_call> calls;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty())
            continue;
        const auto where = name + ":" + std::to_string(number);
        boost::json::error_code failure;
        const auto value = boost::json::parse(line, failure);
        if (failure || !value.is_object())
            throw error(error_kind::invalid_argument, where + ": not a JSON object", "correct the line of the trace");
        const auto& object = value.get_object();
        const line_reader fields(object, where);
        trace_call call;
        call.at = std::chrono::milliseconds(fields.integer("at_ms", 0, day));
        call.team = team_id(fields.text("team"));
        call.urgency = tier(static_cast<std::uint8_t>(fields.integer("tier", 0, 255)));
        call.service = service_id(fields.text("service"));
        call.prompt = tokens(fields.integer("prompt_tokens", 0, manyTokens));
        call.output = tokens(fields.integer("output_tokens", 0, manyTokens));
        call.prefix = textField(object, "prefix");
        call.idempotent = flagField(object, "idempotent", true);
        call.deadline = std::chrono::milliseconds(fields.integer("deadline_ms", 1, day));
        calls.push_back(std::move(call));
    }
    if (!std::ranges::is_sorted(calls, {}, &trace_call::at))
        throw error(error_kind::invalid_argument, name + ": lines are not sorted by at_ms", "sort the trace by arrival");
    return calls;
}

std::vector<trace_call> readTraceFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw error(error_kind::not_found, "trace " + path + " cannot be opened", "check the path");
    return readTrace(in, path);
}

void writeTrace(std::ostream& out, const std::vector<trace_call>& calls)
{
    for (const auto& call : calls) {
        boost::json::object object {
            { "at_ms", call.at.count() },
            { "team", call.team.value },
            { "tier", call.urgency.value },
            { "service", call.service.value },
            { "prompt_tokens", call.prompt.value },
            { "output_tokens", call.output.value },
        };
        if (!call.prefix.empty())
            object["prefix"] = call.prefix;
        object["idempotent"] = call.idempotent;
        object["deadline_ms"] = call.deadline.count();
        out << boost::json::serialize(object) << '\n';
    }
}

} // namespace carawaylink::load
