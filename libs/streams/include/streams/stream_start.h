#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace carawaylink::streams {

/// Hash of the id of the attempt that brings the first event of a stream.
using stream_id = strong_value<struct stream_tag, std::uint64_t>;

/// Time after the beginning of a stream in which its caller may take it up again.
inline constexpr auto streamReturnTime = std::chrono::minutes(2);

/// A version of the software of a service.
struct software_version {
    service_id service;
    std::string version;

    friend auto operator<=>(const software_version&, const software_version&) = default;
};

/// A send by which a stream may begin. Of several sends of one request the one with the greatest number counts.
struct stream_start {
    stream_id stream;
    std::uint32_t send = 0;
    software_version software;

    friend bool operator==(const stream_start&, const stream_start&) = default;
};

} // namespace carawaylink::streams
