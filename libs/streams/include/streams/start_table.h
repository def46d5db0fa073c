#pragma once

#include "streams/stream_start.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaylink::streams {

/// The starts of streams that a node knows, each for the time in which its caller may come back.
class start_table {
public:
    /// Has no effect if a later send of the stream is known.
    void add(const stream_start& start, monotonic_time now);
    /// nullptr for an unknown stream; valid until the next change.
    const stream_start* find(stream_id stream) const;
    /// Time since the start became known; zero for an unknown stream.
    duration ageOf(stream_id stream, monotonic_time now) const;
    void expire(monotonic_time now);
    /// All known starts, in no particular order.
    std::vector<stream_start> all() const;

private:
    struct known_start {
        stream_start start;
        monotonic_time since;
    };

    std::unordered_map<std::uint64_t, known_start> m_starts;
    /// In the order of their times.
    std::deque<std::pair<monotonic_time, stream_id>> m_order;
};

} // namespace carawaylink::streams
