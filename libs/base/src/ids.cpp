#include "base/ids.h"

#include "base/error.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace carawaylink {

namespace {

constexpr std::size_t hexDigitsPerPart = 16;

std::uint64_t parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (status != std::errc() || end != text.data() + text.size())
        throw error(error_kind::invalid_argument, "request id is not hexadecimal", "use the id exactly as it was reported");
    return value;
}

} // namespace

std::string toString(const request_id& id)
{
    std::array<char, 2 * hexDigitsPerPart + 2> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%016llx-%016llx", static_cast<unsigned long long>(id.origin),
        static_cast<unsigned long long>(id.sequence));
    return buffer.data();
}

request_id parseRequestId(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerPart + 1 || text[hexDigitsPerPart] != '-')
        throw error(error_kind::invalid_argument, "request id does not have the form ORIGIN-SEQUENCE with 16 hexadecimal digits each",
            "use the id exactly as it was reported");
    return { parseHex(text.substr(0, hexDigitsPerPart)), parseHex(text.substr(hexDigitsPerPart + 1)) };
}

std::ostream& operator<<(std::ostream& out, const request_id& id)
{
    return out << toString(id);
}

} // namespace carawaylink
