#include "ticket/ticket.h"

#include "base/error.h"
#include "crypto/digest.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <optional>
#include <set>

namespace carawaylink {
namespace {

// A sealed ticket is "v1.KEY_ID.PAYLOAD.MAC". Payload and MAC are base64url without padding (RFC 4648, section 5), so that the
// text is valid in an HTTP header, a URL and a log line. The MAC covers everything before its dot, including version and key id.
constexpr std::string_view formatVersion = "v1";
constexpr std::size_t minSecretBytes = 16;
constexpr std::size_t maxKeyIdBytes = 32;
constexpr std::size_t maxNodeBytes = 255; // the length is encoded in one byte of the payload
constexpr std::size_t macBytes = 32;
// Two node ids of maxNodeBytes give 720 characters of payload. Longer texts are refused before they are decoded.
constexpr std::size_t maxTextBytes = 1024;

[[noreturn]] void throwUnauthorized(const std::string& reason)
{
    // The ticket text is a credential and must not appear in error messages.
    throw error(error_kind::unauthorized, "ticket " + reason, "ask GET /v1/entry?tickets=1 for a new ticket");
}

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    text.resize(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size())));
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string padded(text);
    std::ranges::replace(padded, '-', '+');
    std::ranges::replace(padded, '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(padded.data()),
        static_cast<int>(padded.size()));
    if (size < 0 || padding == 3)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    // EVP_DecodeBlock skips white space and ignores unused bits; only the canonical encoding is accepted.
    if (encodeBase64Url(bytes) != text)
        return std::nullopt;
    return bytes;
}

void appendNumber(std::string& out, std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>(value >> shift & 0xff));
}

void appendProcess(std::string& out, const process_identity& process)
{
    out.push_back(static_cast<char>(process.node.value.size()));
    out += process.node.value;
    appendNumber(out, process.run.value);
}

std::uint64_t readNumber(std::string_view& in)
{
    if (in.size() < 8)
        throwUnauthorized("is too short");
    std::uint64_t value = 0;
    for (int i = 7; i >= 0; --i)
        value = value << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
    in.remove_prefix(8);
    return value;
}

process_identity readProcess(std::string_view& in)
{
    if (in.empty() || in.size() < 1 + static_cast<std::size_t>(static_cast<unsigned char>(in.front())))
        throwUnauthorized("is too short");
    const std::size_t length = static_cast<unsigned char>(in.front());
    process_identity process;
    process.node.value = in.substr(1, length);
    in.remove_prefix(1 + length);
    process.run.value = readNumber(in);
    return process;
}

std::string computeMac(const std::string& secret, std::string_view text)
{
    return std::string(asText(hmacSha256(secret, text)));
}

bool isKeyIdCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

} // namespace

key_ring::key_ring(std::vector<key> keys)
    : m_keys(std::move(keys))
{
    const auto throwInvalidSettings
        = [](const std::string& message, const std::string& remedy) { throw error(error_kind::invalid_settings, message, remedy); };
    if (m_keys.empty())
        throwInvalidSettings("list of ticket keys is empty", "configure at least one key with an id and a secret");
    std::set<std::string_view> ids;
    for (const auto& [id, secret] : m_keys) {
        if (id.empty() || id.size() > maxKeyIdBytes || !std::ranges::all_of(id, isKeyIdCharacter))
            throwInvalidSettings("ticket key id \"" + id + "\" is not 1 to 32 letters, digits, '-' or '_'", "rename the key");
        if (!ids.insert(id).second)
            throwInvalidSettings("ticket key id \"" + id + "\" is used more than once", "give every key a unique id");
        if (secret.size() < minSecretBytes)
            throwInvalidSettings(
                "secret of ticket key \"" + id + "\" has " + std::to_string(secret.size()) + " bytes, at least 16 are needed",
                "use 32 random bytes");
    }
}

std::string key_ring::seal(const ticket& value) const
{
    for (const auto& process : { value.home, value.witness }) {
        if (process.node.value.size() > maxNodeBytes)
            throw error(error_kind::invalid_argument, "node id of a ticket has " + std::to_string(process.node.value.size()) + " bytes",
                "use at most 255 bytes");
    }
    std::string payload;
    appendProcess(payload, value.home);
    appendProcess(payload, value.witness);
    appendNumber(payload, value.sequence);

    const auto& issuingKey = m_keys.front();
    std::string text(formatVersion);
    text.append(".").append(issuingKey.id).append(".").append(encodeBase64Url(payload));
    return text + "." + encodeBase64Url(computeMac(issuingKey.secret, text));
}

ticket key_ring::open(std::string_view text) const
{
    if (text.size() > maxTextBytes)
        throwUnauthorized("is longer than 1024 characters");
    std::array<std::string_view, 4> parts;
    std::string_view rest = text;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto dot = rest.find('.');
        if ((dot == std::string_view::npos) != (i + 1 == parts.size()))
            throwUnauthorized("does not have four parts");
        parts[i] = rest.substr(0, dot);
        rest.remove_prefix(dot == std::string_view::npos ? rest.size() : dot + 1);
    }
    const auto& [format, id, payload, mac] = parts;
    if (format != formatVersion)
        throwUnauthorized("has an unknown format version");
    const auto found = std::ranges::find(m_keys, id, &key::id);
    if (found == m_keys.end())
        throwUnauthorized("was sealed with an unknown key");
    const auto receivedMac = decodeBase64Url(mac);
    const auto expectedMac = computeMac(found->secret, text.substr(0, text.size() - mac.size() - 1));
    // Compared in constant time, so that a caller cannot determine the MAC byte by byte from response times.
    if (!receivedMac || receivedMac->size() != macBytes || CRYPTO_memcmp(receivedMac->data(), expectedMac.data(), macBytes) != 0)
        throwUnauthorized("does not match its authentication code");

    const auto bytes = decodeBase64Url(payload);
    if (!bytes)
        throwUnauthorized("is not base64url");
    std::string_view in(*bytes);
    ticket value;
    value.home = readProcess(in);
    value.witness = readProcess(in);
    value.sequence = readNumber(in);
    if (!in.empty())
        throwUnauthorized("has trailing bytes");
    return value;
}

} // namespace carawaylink
