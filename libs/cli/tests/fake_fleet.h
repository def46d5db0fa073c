#pragma once

#include "base/error.h"
#include "config/fold.h"
#include "http/message.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace carawaylink {

/// Time that passes only by sleeping, and counted ids.
class fake_platform {
public:
    monotonic_time now() const { return m_now; }
    void sleep(duration wait)
    {
        m_now += wait;
        if (onSleep)
            onSleep();
    }
    std::chrono::sys_seconds utcNow() const { return std::chrono::sys_seconds(std::chrono::seconds(1800000000)); }
    std::string newId() { return "record-" + std::to_string(++m_ids); }

    std::function<void()> onSleep;

private:
    monotonic_time m_now {};
    int m_ids = 0;
};

/// Nodes in memory that share one log. Every node answers from one fold; faults are switched on by the tests.
class fake_fleet {
public:
    http_response send(const std::string& address, const http_request& request, duration)
    {
        requests.push_back(address + " " + request.method + " " + request.target);
        if (std::ranges::find(silent, address) != silent.end())
            throw error(error_kind::unavailable, "cannot connect to " + address, "start it");
        if (request.header("Authorization") != "Bearer operator-key")
            return { 401, {}, R"({"error":{"type":"unauthorized","message":"the operator key is not known","remedy":"use another key"}})" };
        if (request.target == "/admin/config")
            return jsonResponse(200,
                "{\"version\":" + std::to_string(fold.version().value) + ",\"next_offset\":" + std::to_string(fold.nextOffset().value)
                    + ",\"document\":" + quoted(fold.document()) + "}");
        if (request.target == "/admin/status")
            return jsonResponse(200, status());
        if (request.target == "/admin/config/records")
            return appendRecord(request.body);
        if (request.target.starts_with("/admin/config/records/"))
            return result(request.target.substr(22));
        const auto found = pages.find(request.method + " " + request.target);
        if (found != pages.end())
            return jsonResponse(200, found->second);
        return { 404, {}, R"({"error":{"type":"not_found","message":"no such page","remedy":"ask for another"}})" };
    }

    config_result append(const std::string& record) { return fold.apply(fold.nextOffset(), record); }

    configuration_fold fold;
    std::vector<std::string> silent;
    std::vector<std::string> requests;
    std::map<std::string, std::string> pages;
    std::string racingRecord; ///< reaches the log just before the next append
    int lostAnswers = 0; ///< the record is appended, the answer is not received
    int lostRecords = 0; ///< neither is the record appended
    int logOutage = 0; ///< appends answered with 503
    int pendingAnswers = 0; ///< results reported as pending before the true one
    std::map<std::string, std::pair<std::string, std::uint64_t>> members { { "n1", { "alive", 0 } },
        { "n2", { "alive", 0 } } }; ///< state and version lag

private:
    static std::string quoted(const std::string& text)
    {
        std::string result = "\"";
        for (const char c : text)
            result += c == '\n' ? "\\n" : c == '"' ? "\\\"" : c == '\\' ? "\\\\" : std::string(1, c);
        return result + "\"";
    }

    std::string status() const
    {
        std::string list;
        for (const auto& [node, member] : members)
            list += (list.empty() ? "" : ",") + ("{\"node\":" + quoted(node)) + ",\"state\":" + quoted(member.first)
                + ",\"config_version\":" + std::to_string(fold.version().value - std::min(member.second, fold.version().value)) + "}";
        return "{\"node\":\"n1\",\"version\":" + std::to_string(fold.version().value) + ",\"members\":[" + list + "],\"pools\":[]}";
    }

    http_response appendRecord(const std::string& body)
    {
        if (logOutage > 0 && logOutage-- > 0)
            return { 503, {}, R"({"error":{"type":"unavailable","message":"the log is down","remedy":"wait"}})" };
        if (lostRecords > 0 && lostRecords-- > 0)
            throw error(error_kind::timeout, "no response", "wait");
        if (!racingRecord.empty())
            append(std::exchange(racingRecord, ""));
        append(body);
        if (lostAnswers > 0 && lostAnswers-- > 0)
            throw error(error_kind::timeout, "no response", "wait");
        const auto id = parseConfigRecord(body).id;
        return fold.find(id) ? result(id) : jsonResponse(200, "{\"result\":\"pending\",\"version\":0}");
    }

    http_response result(const std::string& id)
    {
        const auto found = fold.find(id);
        if (!found)
            return { 404, {}, R"({"error":{"type":"not_found","message":"no such record","remedy":"append it"}})" };
        const bool isPending = pendingAnswers > 0 && pendingAnswers-- > 0;
        return jsonResponse(200,
            "{\"id\":" + quoted(id) + ",\"result\":" + quoted(isPending ? "pending" : std::string(configOutcomeNames.name(found->outcome)))
                + ",\"version\":" + std::to_string(found->version.value) + ",\"message\":" + quoted(found->message) + "}");
    }
};

} // namespace carawaylink
