#pragma once

#include "base/error.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace carawaylink::load {

/// Readers of optional fields: the fallback is returned where the field is absent or has another type.
inline std::string textField(const boost::json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
        return {};
    if (value->is_string())
        return std::string(value->get_string());
    if (value->is_int64() || value->is_uint64())
        return boost::json::serialize(*value);
    return {};
}

inline std::int64_t integerField(const boost::json::object& object, std::string_view key, std::int64_t fallback)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
        return fallback;
    if (value->is_int64())
        return value->get_int64();
    if (value->is_uint64())
        return static_cast<std::int64_t>(value->get_uint64());
    if (value->is_double())
        return static_cast<std::int64_t>(value->get_double());
    return fallback;
}

inline bool flagField(const boost::json::object& object, std::string_view key, bool fallback)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

} // namespace carawaylink::load
