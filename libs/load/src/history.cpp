#include "load/history.h"

#include "base/error.h"
#include "json_fields.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <xxhash.h>

namespace carawaylink::load {
namespace {

history_record parseRecord(std::string_view line, const std::string& where)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(line, failure);
    if (failure || !value.is_object())
        throw error(error_kind::invalid_argument, where + ": not a JSON object", "correct or remove the line");
    const auto& object = value.get_object();
    const auto source = historySourceNames.parse(textField(object, "source"));
    history_record record;
    record.event = textField(object, "event");
    record.timeUs = integerField(object, "t_us", -1);
    if (!source || record.event.empty() || record.timeUs < 0)
        throw error(error_kind::invalid_argument, where + ": needs a known source, an event and t_us", "see docs/history.md");
    record.source = *source;
    record.line = line;
    record.call = textField(object, *source == history_source::engine ? "user" : "call");
    record.request = textField(object, "request");
    record.team = textField(object, "team");
    record.service = textField(object, "service");
    record.address = textField(object, object.contains("http") ? "http" : "address");
    record.endpoint = textField(object, "endpoint");
    record.node = textField(object, "node");
    record.incarnation = textField(object, "incarnation");
    record.ticket = textField(object, "ticket");
    record.prefix = textField(object, "prefix");
    record.reason = textField(object, "reason");
    record.ran = textField(object, "ran");
    record.outcome = textField(object, "outcome");
    record.digest = textField(object, "digest");
    record.attempt = integerField(object, "attempt", 0);
    record.tier = integerField(object, "tier", -1);
    record.status = integerField(object, "status", 0);
    record.deadlineMs = integerField(object, "deadline_ms", -1);
    record.promptTokens = integerField(object, "prompt_tokens", 0);
    record.cachedTokens = integerField(object, "cached_tokens", -1);
    record.outputTokens = integerField(object, "output_tokens", 0);
    record.prefilledTokens = integerField(object, "prefilled_tokens", -1);
    record.prefixTokens = integerField(object, "prefix_tokens", 0);
    record.tokens = integerField(object, "tokens", 0);
    record.expectedTokens = integerField(object, "expected_tokens", -1);
    record.firstTokenUs = integerField(object, "first_token_us", -1);
    record.latencyUs = integerField(object, "latency_us", -1);
    record.bestCaseMs = integerField(object, "best_case_ms", -1);
    record.deadlineInMs = integerField(object, "deadline_in_ms", INT64_MIN);
    record.version = integerField(object, "version", -1);
    record.idempotent = flagField(object, "idempotent", true);
    record.nonIdempotent = flagField(object, "non_idempotent", false);
    record.whole = flagField(object, "whole", false);
    record.own = flagField(object, "own", true);
    record.ordered = flagField(object, "ordered", true);
    record.sent = flagField(object, "sent", true);
    if (const auto* buckets = object.if_contains("buckets"); buckets != nullptr && buckets->is_array()) {
        for (const auto& bucket : buckets->get_array()) {
            if (bucket.is_array() && bucket.get_array().size() == 2 && bucket.get_array()[0].is_int64() && bucket.get_array()[1].is_int64())
                record.buckets.emplace_back(bucket.get_array()[0].get_int64(), bucket.get_array()[1].get_int64());
        }
    }
    return record;
}

} // namespace

history history::read(const std::vector<std::string>& paths)
{
    history result;
    for (const auto& path : paths) {
        std::ifstream in(path);
        if (!in)
            throw error(error_kind::not_found, "history " + path + " cannot be opened", "check the path");
        std::ostringstream content;
        content << in.rdbuf();
        result.add(std::move(content).str(), path);
    }
    result.sort();
    return result;
}

history history::parse(std::vector<std::string> contents)
{
    history result;
    for (auto& content : contents)
        result.add(std::move(content), "history");
    result.sort();
    return result;
}

void history::add(std::string content, const std::string& name)
{
    m_contents.push_back(std::move(content));
    std::string_view rest = m_contents.back();
    for (std::size_t number = 1;; ++number) {
        const auto end = rest.find('\n');
        if (end == std::string_view::npos)
            break;
        const auto line = rest.substr(0, end);
        rest.remove_prefix(end + 1);
        if (!line.empty())
            m_records.push_back(parseRecord(line, name + ":" + std::to_string(number)));
    }
}

void history::sort()
{
    std::ranges::stable_sort(m_records, {}, &history_record::timeUs);
}

std::string callerLine(const history_record& record)
{
    boost::json::object object { { "source", historySourceNames.name(record.source) }, { "event", record.event },
        { "t_us", record.timeUs } };
    const auto text = [&](std::string_view key, const std::string& value) {
        if (!value.empty())
            object[key] = value;
    };
    text("call", record.call);
    if (!record.call.empty())
        object["attempt"] = record.attempt;
    text("team", record.team);
    object["tier"] = record.tier;
    text("service", record.service);
    text("address", record.address);
    text("ticket", record.ticket);
    if (record.event == "sent") {
        object["deadline_ms"] = record.deadlineMs;
        object["idempotent"] = record.idempotent;
        object["prompt_tokens"] = record.promptTokens;
        object["expected_tokens"] = record.expectedTokens;
        text("prefix", record.prefix);
        if (!record.prefix.empty())
            object["prefix_tokens"] = record.prefixTokens;
    } else if (record.event == "token_gaps") {
        boost::json::array buckets;
        for (const auto& [bound, count] : record.buckets)
            buckets.push_back(boost::json::array { bound, count });
        object["buckets"] = std::move(buckets);
    } else {
        object["deadline_ms"] = record.deadlineMs;
        object["idempotent"] = record.idempotent;
        object["status"] = record.status;
        object["whole"] = record.whole;
        object["own"] = record.own;
        object["ordered"] = record.ordered;
        object["tokens"] = record.tokens;
        object["expected_tokens"] = record.expectedTokens;
        text("request", record.request);
        text("reason", record.reason);
        text("ran", record.ran);
        if (!record.sent)
            object["sent"] = false;
        if (record.firstTokenUs >= 0)
            object["first_token_us"] = record.firstTokenUs;
        object["latency_us"] = record.latencyUs;
    }
    return boost::json::serialize(object);
}

std::int64_t historyTimeUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string ticketHash(std::string_view ticket)
{
    return std::to_string(XXH3_64bits(ticket.data(), ticket.size()));
}

history_writer::history_writer(const std::string& path)
    : m_out(path, std::ios::trunc)
{
    if (!m_out)
        throw error(error_kind::unavailable, "history " + path + " cannot be created", "check the folder and its permissions");
}

void history_writer::write(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    m_out << line << '\n';
}

void history_writer::flush()
{
    const std::lock_guard lock(m_mutex);
    m_out.flush();
}

} // namespace carawaylink::load
