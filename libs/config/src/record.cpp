#include "config/record.h"

#include "base/error.h"
#include "settings/settings.h"

#include <algorithm>
#include <boost/json.hpp>

namespace carawaylink {
namespace {

// Ids and authors are stored in the memory of every node.
constexpr std::size_t maxNameBytes = 256;

[[noreturn]] void failField(std::string_view field, const std::string& problem)
{
    throw error(error_kind::invalid_message, "configuration record: " + std::string(field) + " " + problem,
        "send {id, author, base_version, kind, document}, for a snapshot also next_offset");
}

std::string readText(const boost::json::object& object, std::string_view field, std::size_t maxBytes)
{
    const auto* value = object.if_contains(field);
    if (!value || !value->is_string())
        failField(field, "is missing or no text");
    const std::string text(value->get_string().data(), value->get_string().size());
    if (text.empty() || text.size() > maxBytes)
        failField(field, "has " + std::to_string(text.size()) + " bytes; allowed are 1 to " + std::to_string(maxBytes));
    return text;
}

/// Ids and authors are printed on terminals.
std::string readName(const boost::json::object& object, std::string_view field)
{
    auto text = readText(object, field, maxNameBytes);
    if (std::ranges::any_of(text, [](unsigned char c) { return c < ' ' || c == 0x7f; }))
        failField(field, "holds a control character");
    return text;
}

std::uint64_t readNumber(const boost::json::object& object, std::string_view field)
{
    const auto* value = object.if_contains(field);
    if (!value || (!value->is_uint64() && !value->is_int64()) || (value->is_int64() && value->get_int64() < 0))
        failField(field, "is missing or no whole number of 0 or more");
    return value->is_uint64() ? value->get_uint64() : static_cast<std::uint64_t>(value->get_int64());
}

} // namespace

std::string toJson(const config_record& record)
{
    boost::json::object object {
        { "id", record.id },
        { "author", record.author },
        { "base_version", record.baseVersion.value },
        { "kind", std::string(configRecordKindNames.name(record.kind)) },
        { "document", record.document },
    };
    if (record.nextOffset)
        object["next_offset"] = record.nextOffset->value;
    return boost::json::serialize(object);
}

config_record parseConfigRecord(std::string_view text)
{
    boost::json::error_code status;
    const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), status);
    if (status || !value.is_object())
        failField("text", "is no JSON object");
    const auto& object = value.get_object();
    config_record record;
    record.id = readName(object, "id");
    record.author = readName(object, "author");
    record.baseVersion = config_version(readNumber(object, "base_version"));
    const auto kind = configRecordKindNames.parse(readText(object, "kind", maxNameBytes));
    if (!kind)
        failField("kind", "is none of change, snapshot, reset");
    record.kind = *kind;
    record.document = readText(object, "document", maxConfigurationBytes);
    if (record.kind == config_record_kind::snapshot) {
        record.nextOffset = log_offset(readNumber(object, "next_offset"));
        if (record.baseVersion.value == 0)
            failField("base_version", "is 0, a version that has no document");
        // Every record raises the version by one at most, and a reset sets it to the number of records up to itself.
        if (record.baseVersion.value > record.nextOffset->value)
            failField("base_version", "is larger than next_offset");
    }
    return record;
}

} // namespace carawaylink
