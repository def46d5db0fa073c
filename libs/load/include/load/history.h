#pragma once

#include "base/enum_table.h"

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaylink::load {

enum class history_source {
    caller,
    engine,
    service,
    log,
    node,
    fault,
};

inline constexpr auto historySourceNames = enumTable<history_source>({
    { history_source::caller, "caller" },
    { history_source::engine, "engine" },
    { history_source::service, "service" },
    { history_source::log, "log" },
    { history_source::node, "node" },
    { history_source::fault, "fault" },
});

/// One line of a history; docs/history.md says which fields an event has. -1 stands for an absent number.
struct history_record {
    history_source source = history_source::caller;
    std::string event;
    /// Steady clock, which is common to all processes of one machine.
    std::int64_t timeUs = 0;
    /// Call id; the field "user" of engines.
    std::string call;
    std::string request;
    std::string team;
    std::string service;
    /// Address that callers connect to; the field "http" of nodes.
    std::string address;
    std::string endpoint;
    std::string node;
    std::string incarnation;
    std::string ticket;
    std::string prefix;
    std::string reason;
    std::string ran;
    std::string outcome;
    std::string digest;
    std::int64_t attempt = 0;
    std::int64_t tier = -1;
    std::int64_t status = 0;
    std::int64_t deadlineMs = -1;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = -1;
    std::int64_t outputTokens = 0;
    std::int64_t prefilledTokens = -1;
    std::int64_t prefixTokens = 0;
    std::int64_t tokens = 0;
    std::int64_t expectedTokens = -1;
    std::int64_t firstTokenUs = -1;
    std::int64_t latencyUs = -1;
    std::int64_t bestCaseMs = -1;
    /// Absent is INT64_MIN, since a deadline may have passed.
    std::int64_t deadlineInMs = INT64_MIN;
    std::int64_t version = -1;
    bool idempotent = true;
    bool nonIdempotent = false;
    bool whole = false;
    bool own = true;
    bool ordered = true;
    /// False where no byte of the request left the caller.
    bool sent = true;
    /// Time between tokens: (upper bound in microseconds, count) of each bucket in use; only in token_gaps events.
    std::vector<std::pair<std::int64_t, std::int64_t>> buckets;
    /// The line itself; valid as long as the history.
    std::string_view line;
};

/// Merged histories, sorted by time.
class history {
public:
    history() = default;
    // A copy would hold lines of the original.
    history(const history&) = delete;
    history& operator=(const history&) = delete;
    history(history&&) = default;
    history& operator=(history&&) = default;

    /// Throws error(not_found) or error(invalid_argument) naming file and line. A last line without line end is ignored,
    /// since a killed process leaves one.
    static history read(const std::vector<std::string>& paths);
    static history parse(std::vector<std::string> contents);

    const std::vector<history_record>& records() const { return m_records; }

private:
    void add(std::string content, const std::string& name);
    void sort();

    std::deque<std::string> m_contents;
    std::vector<history_record> m_records;
};

/// The line of a caller's event, without line end.
std::string callerLine(const history_record& record);

/// Current time in the unit of the histories.
std::int64_t historyTimeUs();

/// Hash of a ticket as nodes write it, XXH3 in decimal digits: histories never hold a ticket itself.
std::string ticketHash(std::string_view ticket);

/// Appends lines to a file from several threads.
class history_writer {
public:
    /// Throws error(unavailable) where the file cannot be created.
    explicit history_writer(const std::string& path);
    void write(std::string_view line);
    void flush();

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

} // namespace carawaylink::load
