#include "base/log.h"

#include <algorithm>
#include <glog/logging.h>
#include <iomanip>

namespace carawaylink {

void startLog(const char* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

log_event::log_event(std::string_view event, log_level level)
    : m_level(level)
    , m_line("event=")
{
    m_line += event;
}

log_event::~log_event()
{
    switch (m_level) {
    case log_level::info:
        LOG(INFO) << m_line;
        break;
    case log_level::warning:
        LOG(WARNING) << m_line;
        break;
    case log_level::error:
        LOG(ERROR) << m_line;
        break;
    }
}

void log_event::append(std::string_view key, const std::string& value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    const bool canStayUnquoted
        = !value.empty() && std::ranges::none_of(value, [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == 0x7f; });
    if (canStayUnquoted) {
        m_line += value;
        return;
    }
    std::string oneLine = value;
    std::ranges::replace_if(
        oneLine, [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
    std::ostringstream quoted;
    quoted << std::quoted(oneLine);
    m_line += quoted.str();
}

} // namespace carawaylink
