#pragma once

#include "base/ids.h"
#include "wire/frame.h"

#include <algorithm>
#include <memory>

namespace carawaylink {

inline std::unique_ptr<wire::request_key> encodeKey(const request_id& id)
{
    return std::make_unique<wire::request_key>(id.origin, id.sequence);
}

/// Returns the zero id, which no request has, if the message has no key.
inline request_id decodeKey(const std::unique_ptr<wire::request_key>& key)
{
    return key ? request_id { key->origin(), key->sequence() } : request_id {};
}

/// Converts to whole milliseconds for a message; negative durations become zero.
inline std::uint32_t encodeMilliseconds(duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

} // namespace carawaylink
