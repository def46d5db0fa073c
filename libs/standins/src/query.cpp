#include "query.h"

#include "base/error.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace carawaylink {

namespace {

constexpr std::uint64_t maxWaitMs = 60000;

} // namespace

std::uint64_t queryNumber(const http_request& request, std::string_view name)
{
    const auto text = request.query(name);
    if (!text)
        return 0;
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (status != std::errc() || end != text->data() + text->size())
        throw error(error_kind::invalid_argument, "query parameter \"" + std::string(name) + "\" is not a whole number", "give a number");
    return value;
}

std::chrono::milliseconds queryWait(const http_request& request)
{
    return std::chrono::milliseconds(std::min(queryNumber(request, "wait_ms"), maxWaitMs));
}

} // namespace carawaylink
