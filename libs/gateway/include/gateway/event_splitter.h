#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaylink::gateway {

/// Splits a byte stream into complete server-sent events, so that a stream that breaks inside an event can be resumed after the
/// last complete one.
class event_splitter {
public:
    /// Events with ids up to and including lastDelivered are skipped.
    explicit event_splitter(std::optional<std::uint64_t> lastDelivered = std::nullopt);

    /// Returns the events completed by these bytes, unmodified. Keeps nothing once an event exceeds the size limit.
    std::string append(std::string_view bytes);
    /// Prepares for the next response; drops the partial event of the previous one.
    void restart();

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /// Number of complete events returned so far.
    std::size_t eventCount() const { return m_eventCount; }
    bool hasPartialEvent() const { return !m_partial.empty(); }
    std::size_t partialBytes() const { return m_partial.size(); }
    /// Whether an event id was skipped.
    bool hasGap() const { return m_hasGap; }
    /// Whether an event exceeded the size limit; the rest of the stream cannot be split.
    bool hasOversizedEvent() const { return m_hasOversizedEvent; }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::size_t m_eventCount = 0;
    bool m_hasGap = false;
    bool m_hasOversizedEvent = false;
};

} // namespace carawaylink::gateway
