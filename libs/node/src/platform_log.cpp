#include "platform_log.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace carawaylink {

namespace json = boost::json;

namespace {

[[noreturn]] void malformed(const std::string& what)
{
    throw error(error_kind::invalid_message, "answer of the platform log: " + what, "check that log_address names the platform log");
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        malformed("record data is not base64");
    const auto padding = std::min<std::size_t>(2, text.size() - std::min(text.size(), text.find_last_not_of('=') + 1));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::uint64_t number(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value ? value->to_number<std::uint64_t>(status) : 0;
    if (!value || status)
        malformed("field \"" + std::string(key) + "\" is missing or not a whole number from 0");
    return result;
}

std::string text(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        malformed("field \"" + std::string(key) + "\" is missing or not a string");
    return std::string(value->as_string());
}

} // namespace

http_request appendRequest(std::string_view stream, std::string_view id, std::string data)
{
    return { "POST", "/streams/" + std::string(stream) + "/records", { { "X-Append-Id", std::string(id) } }, std::move(data) };
}

std::string readTarget(std::string_view stream, log_offset from, duration wait)
{
    return "/streams/" + std::string(stream) + "/records?from=" + std::to_string(from.value)
        + "&wait_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
}

log_page parseLogPage(const std::string& body)
{
    boost::system::error_code status;
    const auto document = json::parse(body, status);
    if (status || !document.is_object())
        malformed("body is not a JSON object");
    const auto& object = document.as_object();
    log_page page { log_offset(number(object, "first")), log_offset(number(object, "next")), {} };
    const auto* records = object.if_contains("records");
    if (!records)
        return page;
    if (!records->is_array())
        malformed("field \"records\" is not a list");
    for (const auto& value : records->as_array()) {
        if (!value.is_object())
            malformed("a record is not an object");
        const auto& record = value.as_object();
        page.records.push_back({ log_offset(number(record, "offset")), text(record, "id"), decodeBase64(text(record, "data")) });
    }
    return page;
}

} // namespace carawaylink
