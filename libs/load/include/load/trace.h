#pragma once

#include "base/ids.h"

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace carawaylink::load {

/// One call of a workload trace.
struct trace_call {
    /// Arrival, counted from the start of the trace.
    std::chrono::milliseconds at { 0 };
    team_id team;
    tier urgency;
    service_id service;
    tokens prompt;
    tokens output;
    /// Name of the shared prompt prefix; empty for a prompt that shares nothing.
    std::string prefix;
    bool idempotent = true;
    /// Time from arrival to the deadline.
    std::chrono::milliseconds deadline { 8000 };

    friend bool operator==(const trace_call&, const trace_call&) = default;
};

/// Reads JSON Lines sorted by arrival; throws error(invalid_argument) naming the line and the field.
std::vector<trace_call> readTrace(std::istream& in, const std::string& name);
std::vector<trace_call> readTraceFile(const std::string& path);
void writeTrace(std::ostream& out, const std::vector<trace_call>& calls);

} // namespace carawaylink::load
