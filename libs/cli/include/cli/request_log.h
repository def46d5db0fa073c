#pragma once

#include "cli/command_line.h"

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace carawaylink {

/// One line that a node logged about a request.
struct logged_decision {
    std::int64_t timeMs = 0; ///< Unix time of the node that wrote it
    std::string node;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< all others, in the order of the line

    /// Empty where the line has no such field.
    std::string field(std::string_view name) const;
};

/// What the nodes logged about one request, in order of time, and how it ended.
struct request_log {
    std::string request;
    std::vector<logged_decision> decisions;
    /// Lines of the nodes that took part which were left out of the logs while the request ran, one second around it included.
    std::uint64_t linesLeftOut = 0;

    /// Index of the line that decided the end; the last one where none stands out. Nothing where there is no line.
    std::optional<std::size_t> deciding() const;
    /// One sentence on why the request ended as it did.
    std::string conclusion() const;
};

/// Collects the lines of a request from logs of any number of nodes, read one after the other.
class request_log_reader {
public:
    explicit request_log_reader(std::string request) { m_log.request = std::move(request); }
    void read(std::istream& log);
    request_log finish();

private:
    request_log m_log;
    std::vector<logged_decision> m_leftOut;
};

std::string reportRequestLog(const request_log& log, output_format output);

} // namespace carawaylink
