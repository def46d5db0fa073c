#pragma once

#include "load/trace.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace carawaylink::load {

struct team_share {
    team_id team;
    double share = 1;
};

/// A time during which the arrival rate is multiplied.
struct load_burst {
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds length { 0 };
    double factor = 1;
};

/// Calls of one kind. Lengths are log-normal around the median, truncated to [median / sqrt(spread), median * sqrt(spread)].
struct call_class {
    std::string name;
    double share = 1;
    service_id service;
    tier urgency;
    double promptMedian = 600;
    double outputMedian = 100;
    double spread = 100;
    /// Number of shared prefixes; 0 for none.
    int prefixes = 0;
    std::chrono::milliseconds deadline { 8000 };
    double nonIdempotentShare = 0;
};

struct generator_settings {
    std::uint64_t seed = 1;
    /// Calls per second outside bursts.
    double rate = 10;
    std::chrono::milliseconds duration { 60000 };
    /// Exponent of the popularity of prefixes.
    double prefixZipf = 1.1;
    std::vector<team_share> teams;
    std::vector<load_burst> bursts;
    std::vector<call_class> classes;
};

/// Reads a YAML file; throws error(invalid_settings) naming the line, the field and the accepted range.
generator_settings readGeneratorSettings(const std::string& path);

/// Poisson arrivals; the same settings give the same trace.
std::vector<trace_call> generateTrace(const generator_settings& settings);

} // namespace carawaylink::load
