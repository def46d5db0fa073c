#pragma once

#include "http/message.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace carawaylink {

/// Value of a numeric query parameter, 0 where it is absent. Throws error(invalid_argument) where it is not a number.
std::uint64_t queryNumber(const http_request& request, std::string_view name);

/// Value of wait_ms, at most one minute.
std::chrono::milliseconds queryWait(const http_request& request);

} // namespace carawaylink
