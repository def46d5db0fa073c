#include "standins/history.h"

#include "base/error.h"
#include "base/log.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace carawaylink {

history_writer::history_writer(const std::string& path)
{
    if (path.empty())
        return;
    m_descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_descriptor < 0)
        throw error(error_kind::unavailable, "history file \"" + path + "\" cannot be opened: " + std::strerror(errno),
            "give a path in a writable directory");
}

history_writer::~history_writer()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void history_writer::append(std::string line)
{
    if (!enabled())
        return;
    line += '\n';
    if (::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        log_event("history_write_failed", log_level::error).field("error", std::strerror(errno));
}

std::int64_t steadyMicroseconds(monotonic_time at)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

} // namespace carawaylink
