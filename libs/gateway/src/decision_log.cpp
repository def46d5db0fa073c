#include "decision_log.h"

#include "base/time.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace carawaylink::gateway {

namespace {

constexpr unsigned maxLinesPerSecond = 40;
constexpr std::size_t maxPendingBytes = 256 * 1024;
constexpr std::size_t flushThresholdBytes = 4096;

long long unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return wholeMilliseconds(now);
}

} // namespace

decision_log::line::line(decision_log& log, std::string_view event, std::string_view kind)
    : m_log(log)
    , m_isWritten(log.admit(event, kind))
{
    if (m_isWritten)
        m_text << "event=" << event << " time_ms=" << unixMilliseconds() << " node=" << log.m_node;
}

decision_log::line::~line()
{
    if (m_isWritten)
        m_log.append(m_text.str());
}

decision_log::decision_log(std::string node)
    : m_node(std::move(node))
{
    // A consumer that stops reading must not block the process.
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool decision_log::admit(std::string_view event, std::string_view kind)
{
    std::string name(event);
    if (!kind.empty())
        name.append("/").append(kind);
    const auto found = m_budgets.try_emplace(std::move(name)).first;
    auto& budget = found->second;
    if (budget.written >= maxLinesPerSecond) {
        ++budget.dropped;
        return false;
    }
    ++budget.written;
    return true;
}

void decision_log::append(const std::string& text)
{
    if (m_pending.size() + text.size() > maxPendingBytes) {
        ++m_lostLines;
        return;
    }
    m_pending.append(text).append("\n");
    if (m_pending.size() >= flushThresholdBytes)
        writePending();
}

void decision_log::writePending()
{
    const auto written = write(STDOUT_FILENO, m_pending.data(), m_pending.size());
    if (written > 0)
        m_pending.erase(0, static_cast<std::size_t>(written));
}

void decision_log::flush()
{
    for (auto& [event, budget] : m_budgets) {
        const auto dropped = budget.dropped;
        budget = {};
        if (dropped > 0)
            append("event=lines_left_out time_ms=" + std::to_string(unixMilliseconds()) + " node=" + m_node + " of=" + event
                + " count=" + std::to_string(dropped));
    }
    if (m_lostLines > 0 && m_pending.size() < maxPendingBytes / 2)
        append("event=lines_lost node=" + m_node + " count=" + std::to_string(std::exchange(m_lostLines, 0)));
    if (!m_pending.empty())
        writePending();
}

} // namespace carawaylink::gateway
