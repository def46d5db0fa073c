#pragma once

#include "streams/stream_start.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace carawaylink::streams {

/// Collects the starts of streams of several nodes into records of the store, and repeats those that the store has not confirmed. A record
/// that is written twice does no harm. Does no I/O and reads no clock.
///
///     recorder.add(node, start, now);
///     if (const auto batch = recorder.takeBatch(now); !batch.empty()) write(batch);
///     for (const auto& [node, starts] : recorder.confirm(batch)) reply(node, starts);
class start_recorder {
public:
    using batch = std::vector<stream_start>;

    void add(const node_id& node, const stream_start& start, monotonic_time now);
    /// Starts to write in one record now; empty if none are due.
    batch takeBatch(monotonic_time now);
    /// The store holds these starts; returns the nodes that wait for them.
    std::map<node_id, batch> confirm(const batch& written);
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry_key {
        stream_id stream;
        std::uint32_t send = 0;
        node_id node;

        friend auto operator<=>(const entry_key&, const entry_key&) = default;
    };
    struct entry {
        stream_start start;
        monotonic_time addedAt;
        /// Not set until it was written for the first time.
        std::optional<monotonic_time> writtenAt;
        duration repeatDelay {};
    };

    std::map<entry_key, entry> m_entries;
};

} // namespace carawaylink::streams
