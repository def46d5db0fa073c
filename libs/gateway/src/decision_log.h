#pragma once

#include "base/ids.h"

#include <map>
#include <sstream>
#include <string>
#include <string_view>

namespace carawaylink::gateway {

/// Writes key=value lines to standard output, rate-limited per event. Never blocks: lines are buffered while the pipe is full, and
/// dropped if the buffer is full too. Dropped lines are counted and reported in lines of their own.
class decision_log {
public:
    class line {
    public:
        line(decision_log& log, std::string_view event, std::string_view kind);
        ~line();
        line(const line&) = delete;
        line& operator=(const line&) = delete;

        template <typename Value> line& field(std::string_view key, const Value& value)
        {
            if (m_isWritten)
                m_text << ' ' << key << '=' << value;
            return *this;
        }

    private:
        decision_log& m_log;
        bool m_isWritten;
        std::ostringstream m_text;
    };

    explicit decision_log(std::string node);
    /// Each pair of event and kind has its own rate limit, so that frequent kinds do not suppress rare ones.
    line event(std::string_view name, std::string_view kind = {}) { return { *this, name, kind }; }
    /// Writes buffered lines and the counts of dropped ones, and starts a new rate-limit interval; call about once per second.
    void flush();

private:
    struct event_budget {
        unsigned written = 0;
        unsigned dropped = 0;
    };
    bool admit(std::string_view event, std::string_view kind);
    void append(const std::string& text);
    void writePending();

    std::string m_node;
    std::map<std::string, event_budget, std::less<>> m_budgets;
    std::string m_pending;
    unsigned m_lostLines = 0;
};

} // namespace carawaylink::gateway
