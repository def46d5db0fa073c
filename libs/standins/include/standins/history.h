#pragma once

#include "base/ids.h"

#include <memory>
#include <string>
#include <string_view>

namespace carawaylink {

/// Appends JSON Lines to a file that other processes may append to as well; without a path it writes nothing.
class history_writer {
public:
    /// Throws error(unavailable) where the file cannot be opened.
    explicit history_writer(const std::string& path);
    ~history_writer();
    history_writer(const history_writer&) = delete;
    history_writer& operator=(const history_writer&) = delete;

    bool enabled() const { return m_descriptor >= 0; }
    /// Writes one line with a single system call. Safe from all threads.
    void append(std::string line);

private:
    int m_descriptor = -1;
};

/// Microseconds on the steady clock, which all processes of one machine share.
std::int64_t steadyMicroseconds(monotonic_time at);

} // namespace carawaylink
