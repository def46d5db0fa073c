#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "standins/fault_set.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink {

enum class log_fault {
    down,
    pause,
    slow_ms,
    lose_answer_share,
    truncate_before,
    silent_connections,
};

inline constexpr std::array logFaults {
    fault_definition { "down" },
    fault_definition { "pause" },
    fault_definition { "slow_ms", fault_kind::number, 0, 0, 600000 },
    fault_definition { "lose_answer_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "truncate_before", fault_kind::number, 0, 0, 9007199254740992 },
    fault_definition { "silent_connections" },
};

struct log_options {
    std::size_t retentionRecords = 100000;
    duration retention = std::chrono::hours(24);
    /// Limit over all streams; a tenth of a second of it may come at once, and at least 10 appends.
    double appendsPerSecond = 300;
    /// Records of one answer.
    std::size_t maxPage = 1000;
    std::size_t weightLoads = 2;
    duration weightLoadTime = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

struct log_record {
    log_offset offset;
    std::string id;
    std::string data;
    monotonic_time at;
};

/// The platform's append-only log. An append id that is sent twice gives two records.
class log_model {
public:
    explicit log_model(log_options options);

    struct append_result {
        enum class kind {
            stored,
            rate_limited,
            /// Stored, but the answer is lost.
            answer_lost,
        };
        kind result = kind::stored;
        log_offset offset;
        /// Time until an append is admitted again.
        duration retryAfter {};
    };
    append_result append(monotonic_time now, const std::string& stream, std::string id, std::string data);

    struct page {
        /// The asked offset is older than the oldest record.
        bool gone = false;
        log_offset first;
        /// Offset after the last record of this page, or the offset asked for where the page is empty; the end of the
        /// stream where gone.
        log_offset next;
        std::vector<log_record> records;
    };
    page read(monotonic_time now, const std::string& stream, log_offset from);

    /// Drops all records below truncate_before.
    void applyFaults(std::string_view json);
    const fault_set& faults() const { return m_faults; }
    duration delay() const;

private:
    struct stream_state {
        std::uint64_t next = 0;
        std::deque<log_record> records;

        std::uint64_t first() const { return next - records.size(); }
    };

    void expire(monotonic_time now, stream_state& stream) const;

    log_options m_options;
    fault_set m_faults;
    random_source m_random;
    std::map<std::string, stream_state> m_streams;
    double m_allowance;
    std::optional<monotonic_time> m_allowanceAt;
};

/// The weight store: a bounded number of loads at a time.
class weight_store_model {
public:
    weight_store_model(std::size_t maxLoads, duration loadTime);

    /// Starts a load and returns its end; nothing where the limit is reached.
    std::optional<monotonic_time> begin(monotonic_time now);

private:
    std::size_t m_maxLoads;
    duration m_loadTime;
    std::deque<monotonic_time> m_ends;
};

} // namespace carawaylink
