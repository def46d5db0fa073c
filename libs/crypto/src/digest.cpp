#include "crypto/digest.h"

#include "base/error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace carawaylink {

digest hmacSha256(std::string_view secret, std::string_view text)
{
    digest result {};
    unsigned size = 0;
    if (!HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(text.data()),
            text.size(), result.data(), &size))
        throw error(error_kind::internal, "HMAC-SHA256 failed", "check the OpenSSL installation");
    return result;
}

std::string sha256Hex(std::string_view text)
{
    digest result {};
    unsigned size = 0;
    if (!EVP_Digest(text.data(), text.size(), result.data(), &size, EVP_sha256(), nullptr))
        throw error(error_kind::internal, "SHA-256 failed", "check the OpenSSL installation");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digestBytes);
    for (const auto byte : result) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0xf];
    }
    return hex;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view asText(const digest& value)
{
    return { reinterpret_cast<const char*>(value.data()), value.size() };
}

} // namespace carawaylink
