#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carawaylink {

inline constexpr std::size_t digestBytes = 32;
using digest = std::array<std::uint8_t, digestBytes>;

/// HMAC-SHA256 (RFC 2104).
digest hmacSha256(std::string_view secret, std::string_view text);
/// SHA-256 in 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);
/// Compares in a time that does not depend on the content.
bool equalInConstantTime(std::string_view left, std::string_view right);
/// View of a digest's bytes.
std::string_view asText(const digest& value);

} // namespace carawaylink
