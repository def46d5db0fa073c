#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace carawaylink::gateway {

namespace {

constexpr std::string_view idField = "id:";
// Larger than any event of a model engine; a stream without the end of an event must not fill the memory.
constexpr std::size_t maxEventBytes = 256 * 1024;

// Position after the blank line that terminates the first event; npos if there is none.
std::size_t endOfEvent(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto carriage = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::string_view::npos;
    return plain < carriage ? plain + 2 : carriage + 4;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    for (const auto part : std::views::split(event, '\n')) {
        std::string_view line(part.begin(), part.end());
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [end, status] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (status == std::errc {} && end != line.data())
            return id;
    }
    return std::nullopt;
}

} // namespace

event_splitter::event_splitter(std::optional<std::uint64_t> lastDelivered)
    : m_lastId(lastDelivered)
{
}

std::string event_splitter::append(std::string_view bytes)
{
    if (m_hasOversizedEvent)
        return {};
    m_partial += bytes;
    std::string completeEvents;
    std::string_view rest = m_partial;
    for (auto end = endOfEvent(rest); end != std::string_view::npos && !m_hasGap; end = endOfEvent(rest)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        if (id && m_lastId && *id <= *m_lastId)
            continue;
        if (id && m_lastId && *id != *m_lastId + 1) {
            m_hasGap = true;
            break;
        }
        if (id)
            m_lastId = id;
        ++m_eventCount;
        completeEvents += event;
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    if (m_partial.size() > maxEventBytes) {
        m_hasOversizedEvent = true;
        m_partial.clear();
    }
    return completeEvents;
}

void event_splitter::restart()
{
    m_partial.clear();
    m_hasGap = false;
    m_hasOversizedEvent = false;
}

} // namespace carawaylink::gateway
