#include "cli/request_log.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <sstream>

namespace carawaylink {

namespace json = boost::json;

namespace {

// Logs of one node hold the counts of the lines left out once a second.
constexpr std::int64_t leftOutMarginMs = 1000;

std::int64_t number(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// A value in quotes may hold spaces.
std::string_view takeValue(std::string_view& rest)
{
    const bool isQuoted = rest.starts_with('"');
    const auto end = isQuoted ? rest.find('"', 1) : rest.find(' ');
    const auto size = std::min(end == std::string_view::npos ? rest.size() : end + (isQuoted ? 1 : 0), rest.size());
    const auto value = rest.substr(0, size);
    rest.remove_prefix(std::min(size + 1, rest.size()));
    return value;
}

std::optional<logged_decision> parseLine(std::string_view line)
{
    const auto start = line.find("event=");
    if (start == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(start);
    logged_decision decision;
    while (!line.empty()) {
        const auto equals = line.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string name(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        const std::string value(takeValue(line));
        if (name == "event")
            decision.event = value;
        else if (name == "time_ms")
            decision.timeMs = number(value);
        else if (name == "node")
            decision.node = value;
        else
            decision.fields.emplace_back(name, value);
    }
    return decision;
}

// Events that decide how a request ends, the strongest first.
constexpr std::array<std::string_view, 6> decidingEvents { "quota_exceeded", "prompt_quarantined", "request_rejected", "request_refused",
    "attempt_failed", "request_ended" };

std::string concludeRejection(const logged_decision& line)
{
    return "rejected with status " + line.field("status") + ": " + line.field("reason") + ", by configuration "
        + line.field("configuration");
}

std::string concludeQuota(const logged_decision& line)
{
    return "refused: team " + line.field("team") + " had " + line.field("available") + " units of its quota available, "
        + line.field("needed") + " were needed: " + line.field("units") + " and what is left to more urgent requests; "
        + line.field("reporting_nodes") + " of " + line.field("possible_nodes") + " nodes reported their use";
}

std::string concludeQuarantine(const logged_decision& line)
{
    return "refused: part " + line.field("shared_part") + " of its prompt crashed endpoints and is quarantined for "
        + line.field("remaining_ms") + " ms more; the lines endpoint_crashed and quarantine_decided with part=" + line.field("part")
        + " tell why";
}

std::string concludeRefusal(const logged_decision& line)
{
    std::string text
        = "refused after " + line.field("waited_ms") + " ms: " + line.field("cause") + ", with " + line.field("ahead") + " requests ahead";
    const auto leaving = number(line.field("leaving"));
    const auto resting = number(line.field("resting"));
    if (leaving + resting > 0)
        text += "; of the endpoints " + std::to_string(leaving) + " said that they leave and " + std::to_string(resting) + " rested";
    return text;
}

std::string concludeEnd(const logged_decision& line)
{
    const auto sent = number(line.field("sent_ms"));
    const auto first = number(line.field("first_ms"));
    const auto expected = number(line.field("expected_first_ms"));
    if (line.field("result") != "served" || first < 0)
        return "ended as " + line.field("result") + " after " + line.field("total_ms") + " ms";
    const auto atEndpoint = first - sent;
    std::string text = "served, first event after " + std::to_string(first) + " ms: " + std::to_string(sent) + " ms until it was sent, "
        + std::to_string(atEndpoint) + " ms at " + line.field("replica") + ", where " + std::to_string(expected) + " ms were expected";
    if (const auto pause = line.field("longest_pause_ms"); !pause.empty())
        text += "; longest pause " + pause + " ms";
    return text;
}

std::string concludeStream(const logged_decision& line)
{
    std::string text = "; it takes up the stream of " + line.field("resumes") + " after event " + line.field("after_event");
    if (line.field("known_from") == "unknown")
        return text + ", whose version could not be found";
    return text + ", which began at version " + line.field("version") + " of " + line.field("service") + " (known from "
        + line.field("known_from") + ", " + line.field("age_ms") + " ms old; " + line.field("endpoints") + " endpoints of it)";
}

std::string describe(const logged_decision& line)
{
    std::string text = line.event;
    for (const auto& [name, value] : line.fields) {
        if (name != "request")
            text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

std::string concludeDecision(const logged_decision& line)
{
    if (line.event == "quota_exceeded")
        return concludeQuota(line);
    if (line.event == "prompt_quarantined")
        return concludeQuarantine(line);
    if (line.event == "request_rejected")
        return concludeRejection(line);
    if (line.event == "request_refused")
        return concludeRefusal(line);
    if (line.event == "attempt_failed")
        return "failed at " + line.field("replica") + " after " + line.field("after_ms") + " ms: " + line.field("outcome") + ", "
            + line.field("detail");
    if (line.event == "request_ended")
        return concludeEnd(line);
    return "not known: the logs hold no end of the request";
}

} // namespace

std::string logged_decision::field(std::string_view name) const
{
    const auto found = std::ranges::find(fields, name, &std::pair<std::string, std::string>::first);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<std::size_t> request_log::deciding() const
{
    if (decisions.empty())
        return std::nullopt;
    // A request that was served is told by its end, whatever failed on the way.
    const bool wasServed = decisions.back().event == "request_ended" && decisions.back().field("result") == "served";
    for (const auto event : decidingEvents) {
        const auto found = std::ranges::find(decisions.rbegin(), decisions.rend(), event, &logged_decision::event);
        if (!wasServed && found != decisions.rend())
            return static_cast<std::size_t>(decisions.rend() - found - 1);
    }
    return decisions.size() - 1;
}

std::string request_log::conclusion() const
{
    const auto index = deciding();
    if (!index)
        return "no line of the logs names the request";
    const auto takenUp = std::ranges::find(decisions, "stream_taken_up", &logged_decision::event);
    return concludeDecision(decisions[*index]) + (takenUp == decisions.end() ? std::string {} : concludeStream(*takenUp));
}

void request_log_reader::read(std::istream& log)
{
    for (std::string line; std::getline(log, line);) {
        const bool isLeftOut = line.find("event=lines_left_out") != std::string::npos;
        if (!isLeftOut && line.find("request=" + m_log.request) == std::string::npos)
            continue;
        auto decision = parseLine(line);
        if (!decision)
            continue;
        if (isLeftOut)
            m_leftOut.push_back(std::move(*decision));
        else if (decision->field("request") == m_log.request)
            m_log.decisions.push_back(std::move(*decision));
    }
}

request_log request_log_reader::finish()
{
    auto& decisions = m_log.decisions;
    std::ranges::stable_sort(decisions, {}, &logged_decision::timeMs);
    for (const auto& line : m_leftOut) {
        const bool isOfNode = std::ranges::find(decisions, line.node, &logged_decision::node) != decisions.end();
        if (isOfNode && line.timeMs >= decisions.front().timeMs - leftOutMarginMs
            && line.timeMs <= decisions.back().timeMs + leftOutMarginMs)
            m_log.linesLeftOut += static_cast<std::uint64_t>(number(line.field("count")));
    }
    return std::move(m_log);
}

std::string reportRequestLog(const request_log& log, output_format output)
{
    const auto deciding = log.deciding();
    if (output == output_format::json) {
        json::array lines;
        for (const auto& line : log.decisions) {
            json::object entry { { "time_ms", line.timeMs }, { "node", line.node }, { "event", line.event } };
            for (const auto& [name, value] : line.fields)
                entry[name] = value;
            lines.push_back(std::move(entry));
        }
        json::object result { { "request", log.request }, { "conclusion", log.conclusion() }, { "lines", std::move(lines) },
            { "lines_left_out", log.linesLeftOut } };
        if (deciding)
            result["deciding"] = *deciding;
        return json::serialize(result) + "\n";
    }
    std::ostringstream out;
    for (std::size_t i = 0; i < log.decisions.size(); ++i) {
        const auto& line = log.decisions[i];
        out << (i == deciding ? "* " : "  ") << '+' << line.timeMs - log.decisions.front().timeMs << " ms " << line.node << ' '
            << describe(line) << '\n';
    }
    out << "request " << log.request << ": " << log.conclusion() << '\n';
    if (log.linesLeftOut > 0)
        out << log.linesLeftOut << " lines of these nodes were left out at that time; the log may have gaps\n";
    return out.str();
}

} // namespace carawaylink
