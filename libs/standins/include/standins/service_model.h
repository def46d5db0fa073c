#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "standins/fault_set.h"

#include <array>
#include <cstdint>

namespace carawaylink {

enum class service_fault {
    delay_ms,
    fail_share,
    lose_answer_share,
    leaving,
    pause,
    silent_connections,
};

inline constexpr std::array serviceFaults {
    fault_definition { "delay_ms", fault_kind::number, 1, 0, 600000 },
    fault_definition { "fail_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "lose_answer_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "leaving" },
    fault_definition { "pause" },
    fault_definition { "silent_connections" },
};

/// What a plain service does with one request.
struct service_outcome {
    enum class kind {
        answered,
        /// Refused because the service is leaving; nothing was executed.
        leaving,
        /// Failed before anything was executed.
        failed,
        /// Executed, but the answer is lost.
        answer_lost,
    };
    kind result = kind::answered;
    /// Number of the execution; 0 for a request without an effect.
    std::uint64_t execution = 0;
};

/// A plain service: lookups and calls with an effect. A call that is received twice is executed twice.
class service_model {
public:
    explicit service_model(std::uint64_t seed);

    service_outcome handle(bool hasEffect);
    /// Time between a request and its answer.
    duration delay() const;
    std::uint64_t executions() const { return m_executions; }

    fault_set& faults() { return m_faults; }

private:
    bool drawn(service_fault share);

    fault_set m_faults;
    random_source m_random;
    std::uint64_t m_executions = 0;
};

} // namespace carawaylink
