#include "orders/record.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

[[noreturn]] void malformed(const std::string& what)
{
    throw error(error_kind::invalid_message, "record of the stream orders: " + what, "check which program writes to the stream");
}

std::string text(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        malformed("field \"" + std::string(key) + "\" is missing or not a string");
    return std::string(value->as_string());
}

std::uint64_t number(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value && value->is_number() ? value->to_number<std::uint64_t>(status) : 0;
    if (!value || !value->is_number() || status)
        malformed("field \"" + std::string(key) + "\" is missing or not a whole number");
    return result;
}

bool hasLength(order_record_kind kind)
{
    return kind != order_record_kind::release && kind != order_record_kind::permit_end;
}

bool hasSubject(order_record_kind kind)
{
    return kind != order_record_kind::lease && kind != order_record_kind::permit;
}

} // namespace

std::string toJson(const order_record& record)
{
    json::object object { { "kind", orderRecordKindNames.name(record.kind) }, { "id", record.id }, { "service", record.service.value },
        { "node", record.holder.node.value }, { "incarnation", record.holder.run.value } };
    if (hasLength(record.kind))
        object["duration_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(record.ttl).count();
    if (hasSubject(record.kind))
        object["subject"] = record.subject;
    if (record.kind == order_record_kind::permit_renewal)
        object["since"] = record.since.value;
    return json::serialize(object);
}

order_record parseOrderRecord(std::string_view body)
{
    // A day; a longer lease could block a service for as long.
    constexpr std::uint64_t maxLengthMs = 86400000;
    boost::system::error_code status;
    const auto document = json::parse(body, status);
    if (status || !document.is_object())
        malformed("not a JSON object");
    const auto& object = document.as_object();
    const auto kind = orderRecordKindNames.parse(text(object, "kind"));
    if (!kind)
        malformed("kind \"" + text(object, "kind") + "\" is unknown");
    order_record record { *kind, text(object, "id"), service_id(text(object, "service")),
        { node_id(text(object, "node")), incarnation(number(object, "incarnation")) }, {}, {}, {} };
    if (hasLength(*kind)) {
        const auto ttl = number(object, "duration_ms");
        if (ttl == 0 || ttl > maxLengthMs)
            malformed("duration_ms " + std::to_string(ttl) + " is outside 1 to " + std::to_string(maxLengthMs));
        record.ttl = std::chrono::milliseconds(ttl);
    }
    if (hasSubject(*kind))
        record.subject = text(object, "subject");
    if (*kind == order_record_kind::permit_renewal)
        record.since = log_offset(number(object, "since"));
    return record;
}

} // namespace carawaylink
