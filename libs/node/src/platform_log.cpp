#include "platform_log.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <openssl/evp.h>

namespace carawaylink {

namespace json = boost::json;

namespace {

[[noreturn]] void throwMalformed(const std::string& what)
{
    throw error(
        error_kind::invalid_message, "invalid response from the platform log: " + what, "check that log_address names the platform log");
}

std::string decodeBase64(std::string_view encoded)
{
    std::string bytes(encoded.size() / 4 * 3, '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(encoded.data()), static_cast<int>(encoded.size()));
    if (size < 0)
        throwMalformed("record data is not base64");
    const auto padding = std::min<std::size_t>(2, encoded.size() - std::min(encoded.size(), encoded.find_last_not_of('=') + 1));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::uint64_t unsignedField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value ? value->to_number<std::uint64_t>(status) : 0;
    if (!value || status)
        throwMalformed("field \"" + std::string(key) + "\" is missing or not a non-negative integer");
    return result;
}

std::string stringField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        throwMalformed("field \"" + std::string(key) + "\" is missing or not a string");
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
        throwMalformed("body is not a JSON object");
    const auto& object = document.as_object();
    log_page page { log_offset(unsignedField(object, "first")), log_offset(unsignedField(object, "next")), {} };
    const auto* records = object.if_contains("records");
    if (!records)
        return page;
    if (!records->is_array())
        throwMalformed("field \"records\" is not a list");
    for (const auto& value : records->as_array()) {
        if (!value.is_object())
            throwMalformed("a record is not an object");
        const auto& record = value.as_object();
        page.records.push_back(
            { log_offset(unsignedField(record, "offset")), stringField(record, "id"), decodeBase64(stringField(record, "data")) });
    }
    return page;
}

} // namespace carawaylink
