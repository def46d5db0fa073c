#include "orders/record.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

[[noreturn]] void throwMalformed(const std::string& what)
{
    throw error(error_kind::invalid_message, "malformed record in log stream orders: " + what, "check which program writes to the stream");
}

std::string stringField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        throwMalformed("field \"" + std::string(key) + "\" is missing or not a string");
    return std::string(value->as_string());
}

std::uint64_t integerField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value && value->is_number() ? value->to_number<std::uint64_t>(status) : 0;
    if (!value || !value->is_number() || status)
        throwMalformed("field \"" + std::string(key) + "\" is missing or not a whole number");
    return result;
}

bool hasTtl(order_record_kind kind)
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
    if (hasTtl(record.kind))
        object["duration_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(record.ttl).count();
    if (hasSubject(record.kind))
        object["subject"] = record.subject;
    if (record.kind == order_record_kind::permit_renewal)
        object["since"] = record.since.value;
    return json::serialize(object);
}

order_record parseOrderRecord(std::string_view body)
{
    // One day. A lease blocks its service until it expires.
    constexpr std::uint64_t maxTtlMs = 86400000;
    boost::system::error_code status;
    const auto document = json::parse(body, status);
    if (status || !document.is_object())
        throwMalformed("not a JSON object");
    const auto& object = document.as_object();
    const auto kind = orderRecordKindNames.parse(stringField(object, "kind"));
    if (!kind)
        throwMalformed("kind \"" + stringField(object, "kind") + "\" is unknown");
    order_record record { *kind, stringField(object, "id"), service_id(stringField(object, "service")),
        { node_id(stringField(object, "node")), incarnation(integerField(object, "incarnation")) }, {}, {}, {} };
    if (hasTtl(*kind)) {
        const auto ttl = integerField(object, "duration_ms");
        if (ttl == 0 || ttl > maxTtlMs)
            throwMalformed("duration_ms " + std::to_string(ttl) + " is outside 1 to " + std::to_string(maxTtlMs));
        record.ttl = std::chrono::milliseconds(ttl);
    }
    if (hasSubject(*kind))
        record.subject = stringField(object, "subject");
    if (*kind == order_record_kind::permit_renewal)
        record.since = log_offset(integerField(object, "since"));
    return record;
}

} // namespace carawaylink
