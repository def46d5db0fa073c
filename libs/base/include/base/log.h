#pragma once

#include <chrono>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>

namespace carawaylink {

enum class log_level {
    info,
    warning,
    error,
};

/// Initializes logging to standard error. Call once, at the start of main().
void startLog(const char* program);

/// One log line of key=value pairs, written when the object is destroyed. Never put secrets or prompt text in a field.
///
///     log_event("request_refused").field("request", id).field("reason", reasonNames.name(reason));
class log_event {
public:
    explicit log_event(std::string_view event, log_level level = log_level::info);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends key=value; the value is quoted if it is empty or contains white space, control characters, a quote or an equals sign.
    template <typename Value> log_event& field(std::string_view key, const Value& value)
    {
        std::ostringstream text;
        text << value;
        append(key, text.str());
        return *this;
    }

    template <typename Representation, typename Period>
    log_event& field(std::string_view key, const std::chrono::duration<Representation, Period>& value)
    {
        return field(key, std::chrono::duration<double, std::milli>(value).count());
    }

private:
    void append(std::string_view key, const std::string& value);

    log_level m_level;
    std::string m_line;
};

} // namespace carawaylink
