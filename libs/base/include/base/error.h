#pragma once

#include "base/enum_table.h"

#include <stdexcept>
#include <string>

namespace carawaylink {

enum class error_kind {
    invalid_argument,
    invalid_settings,
    invalid_message,
    limit_exceeded,
    unauthorized,
    not_found,
    conflict,
    unavailable,
    timeout,
    internal,
};

inline constexpr auto errorKindNames = enumTable<error_kind>({
    { error_kind::invalid_argument, "invalid_argument" },
    { error_kind::invalid_settings, "invalid_settings" },
    { error_kind::invalid_message, "invalid_message" },
    { error_kind::limit_exceeded, "limit_exceeded" },
    { error_kind::unauthorized, "unauthorized" },
    { error_kind::not_found, "not_found" },
    { error_kind::conflict, "conflict" },
    { error_kind::unavailable, "unavailable" },
    { error_kind::timeout, "timeout" },
    { error_kind::internal, "internal" },
});

/// Exception with a kind and a remedy for the user; what() is "KIND: message; remedy: REMEDY".
class error : public std::runtime_error {
public:
    error(error_kind kind, const std::string& message, const std::string& remedy)
        : std::runtime_error(std::string(errorKindNames.name(kind)) + ": " + message + "; remedy: " + remedy)
        , m_kind(kind)
        , m_message(message)
        , m_remedy(remedy)
    {
    }

    error_kind kind() const { return m_kind; }
    const std::string& message() const { return m_message; }
    const std::string& remedy() const { return m_remedy; }

private:
    error_kind m_kind;
    std::string m_message;
    std::string m_remedy;
};

} // namespace carawaylink
