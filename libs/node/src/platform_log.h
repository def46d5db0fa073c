#pragma once

#include "base/ids.h"
#include "http/message.h"

#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

struct platform_record {
    log_offset offset;
    std::string id;
    std::string data;
};

/// Response of the platform log to one read.
struct log_page {
    /// Oldest offset that the log still retains.
    log_offset first;
    log_offset next;
    std::vector<platform_record> records;
};

/// Builds the request that appends a record to a stream.
http_request appendRequest(std::string_view stream, std::string_view id, std::string data);
/// Builds the request target that reads a stream from an offset and waits for new records.
std::string readTarget(std::string_view stream, log_offset from, duration wait);
/// Throws error(invalid_message) if the body is not a valid response of the log.
log_page parseLogPage(const std::string& body);

} // namespace carawaylink
