#pragma once

#include "base/ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace carawaylink {

struct cache_event {
    std::uint64_t sequence = 0;
    std::uint64_t hash = 0;
    bool stored = false;
};

/// The cache events that an engine publishes; bounded, so a reader that is far behind sees a gap.
class cache_event_feed {
public:
    explicit cache_event_feed(std::size_t capacity);

    /// A lost event takes a sequence number and is never published.
    void record(monotonic_time at, std::uint64_t hash, bool stored, bool lost);

    struct page {
        std::uint64_t next = 0;
        std::vector<cache_event> events;
    };
    /// The events from that number on that are at least delay old. A number that was not reached yet, as after a restart of the
    /// engine, gives an empty page whose next is smaller.
    page read(monotonic_time now, std::uint64_t from, std::size_t limit, duration delay) const;
    /// When the next event from that number on becomes visible; nothing where none is recorded.
    std::optional<monotonic_time> visibleAt(std::uint64_t from, duration delay) const;

private:
    struct entry {
        cache_event event;
        monotonic_time at;
    };

    std::deque<entry>::const_iterator firstFrom(std::uint64_t from) const;

    std::size_t m_capacity;
    std::uint64_t m_next = 0;
    std::deque<entry> m_entries;
};

} // namespace carawaylink
