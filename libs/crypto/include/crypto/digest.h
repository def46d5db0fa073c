#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carawaylink {

inline constexpr std::size_t digestBytes = 32;
using digest = std::array<std::uint8_t, digestBytes>;

/// Returns the HMAC-SHA256 (RFC 2104) of the text.
digest hmacSha256(std::string_view secret, std::string_view text);
/// Returns the SHA-256 of the text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);
/// Compares in a time that depends on the lengths only, to prevent timing attacks on secrets.
bool equalInConstantTime(std::string_view left, std::string_view right);
/// Returns a view of the bytes of the digest; valid as long as the digest.
std::string_view asText(const digest& value);

} // namespace carawaylink
