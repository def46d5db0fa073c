#pragma once

#include "load/history.h"
#include "load/trace.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::load {

struct replay_settings {
    /// Addresses "ip:port" that are asked for the entry.
    std::vector<std::string> entry;
    /// Services that take plain HTTP calls.
    std::set<std::string> plainServices;
    /// Key of a team; a team without an entry uses "key-TEAM".
    std::map<std::string, std::string> keys;
    /// First part of every call id; must differ between runs whose histories are merged.
    std::string runId = "run";
    std::size_t threads = 2;
    /// Attempts after the first one of a call that holds a ticket.
    int retries = 2;
    /// Factor on the arrival rate of the trace.
    double speed = 1;
    /// Tickets held per team and thread.
    std::size_t ticketStock = 8;
    /// Time after the deadline during which a silent connection is kept.
    std::chrono::milliseconds patience { 5000 };
    /// Longest wait for open calls after the last arrival.
    std::chrono::milliseconds drainLimit { 60000 };
};

struct replay_totals {
    std::int64_t offered = 0;
    /// Calls still open when the drain limit ended the run.
    std::int64_t abandoned = 0;
    std::int64_t tokens = 0;
    /// Largest delay between the scheduled arrival and the start of a call inside this program; a large value means that
    /// the program, not the fleet, was the bottleneck.
    std::chrono::microseconds largestLag { 0 };
    std::chrono::microseconds elapsed { 0 };
};

/// Offers the trace open-loop: an arrival never waits for the answer of an earlier call. Writes the caller's history.
/// Throws error(invalid_argument) for settings that cannot work.
replay_totals replayTrace(const replay_settings& settings, const std::vector<trace_call>& calls, history_writer& writer);

} // namespace carawaylink::load
