#include "cli/admin_messages.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace carawaylink {
namespace {

[[noreturn]] void failBody(const std::string& problem)
{
    throw error(
        error_kind::invalid_message, "the response of the node " + problem, "check that --node names the HTTP address of a carawaylinkd");
}

boost::json::object parseObject(std::string_view body)
{
    boost::json::error_code status;
    auto value = boost::json::parse(boost::json::string_view(body.data(), body.size()), status);
    if (status || !value.is_object())
        failBody("is no JSON object");
    return std::move(value.get_object());
}

std::uint64_t readNumber(const boost::json::object& object, std::string_view field)
{
    const auto* value = object.if_contains(field);
    if (value && value->is_uint64())
        return value->get_uint64();
    if (value && value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    failBody("has no number \"" + std::string(field) + "\"");
}

std::string readText(const boost::json::object& object, std::string_view field)
{
    const auto* value = object.if_contains(field);
    if (!value || !value->is_string())
        failBody("has no text \"" + std::string(field) + "\"");
    return { value->get_string().data(), value->get_string().size() };
}

} // namespace

admin_config parseAdminConfig(std::string_view body)
{
    const auto object = parseObject(body);
    return { config_version(readNumber(object, "version")), log_offset(readNumber(object, "next_offset")), readText(object, "document") };
}

admin_status parseAdminStatus(std::string_view body)
{
    const auto object = parseObject(body);
    admin_status status { config_version(readNumber(object, "version")), {} };
    const auto* members = object.if_contains("members");
    if (!members || !members->is_array())
        failBody("has no list \"members\"");
    for (const auto& member : members->get_array()) {
        if (!member.is_object())
            failBody("has a member that is no object");
        const auto& fields = member.get_object();
        status.members.push_back(
            { readText(fields, "node"), readText(fields, "state"), config_version(readNumber(fields, "config_version")) });
    }
    return status;
}

admin_record_result parseAdminRecordResult(std::string_view body)
{
    const auto object = parseObject(body);
    admin_record_result result { readText(object, "result"), config_version(readNumber(object, "version")), "" };
    if (object.contains("message"))
        result.message = readText(object, "message");
    if (result.result != "accepted" && result.result != "refused" && result.result != "pending" && result.result != "undetermined")
        failBody("has the unknown result \"" + result.result + "\"");
    return result;
}

admin_failure parseAdminFailure(unsigned status, std::string_view body)
{
    try {
        const auto object = parseObject(body);
        const auto* failure = object.if_contains("error");
        if (failure && failure->is_object()) {
            const auto& fields = failure->get_object();
            return { readText(fields, "message"), fields.contains("remedy") ? readText(fields, "remedy") : "" };
        }
    } catch (const error&) {
        // Something other than a node may have answered.
    }
    return { "the response has status " + std::to_string(status), "check that --node names the HTTP address of a carawaylinkd" };
}

} // namespace carawaylink
