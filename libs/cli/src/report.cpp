#include "cli/report.h"

#include "cli/admin_messages.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace carawaylink {
namespace {

namespace json = boost::json;

std::string line(const json::value& value)
{
    return json::serialize(value) + "\n";
}

json::array toArray(const std::vector<std::string>& texts)
{
    return json::array(texts.begin(), texts.end());
}

/// The body of a node, checked to be a JSON object.
json::object parseBody(std::string_view body)
{
    json::error_code status;
    auto value = json::parse(json::string_view(body.data(), body.size()), status);
    if (status || !value.is_object())
        throw error(error_kind::invalid_message, "the response of the node is no JSON object",
            "check that --node names the HTTP address of a carawaylinkd");
    return std::move(value.get_object());
}

/// A value as one cell of a table. Control characters are replaced, since names and messages come from elsewhere.
std::string cell(const json::value& value)
{
    std::string text = value.is_string() ? std::string(value.get_string().data(), value.get_string().size()) : json::serialize(value);
    if (value.is_double()) {
        // JSON texts of doubles always have an exponent: 5.5E0.
        std::ostringstream number;
        number << value.get_double();
        text = number.str();
    }
    std::ranges::replace_if(
        text, [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
    return text.empty() ? "-" : text;
}

using table_row = std::vector<std::string>;

std::string formatTable(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            text += row[i] + (i + 1 == row.size() ? "\n" : std::string(widths[i] - row[i].size() + 2, ' '));
    }
    return text;
}

/// One row per element of a list of objects, with the named fields as columns; "-" where a field is absent.
std::string listTable(const json::object& object, std::string_view list, const std::vector<std::string>& columns)
{
    std::vector<table_row> rows { columns };
    const auto* elements = object.if_contains(list);
    if (elements && elements->is_array()) {
        for (const auto& element : elements->get_array()) {
            table_row row;
            for (const auto& column : columns) {
                const auto* value = element.is_object() ? element.get_object().if_contains(column) : nullptr;
                row.push_back(value ? cell(*value) : "-");
            }
            rows.push_back(std::move(row));
        }
    }
    return rows.size() == 1 ? "no " + std::string(list) + "\n" : formatTable(rows);
}

std::string field(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value ? cell(*value) : "-";
}

std::string number(config_version version)
{
    return std::to_string(version.value);
}

} // namespace

std::string reportFaults(const settings_report& report, const std::string& file, output_format output)
{
    if (output == output_format::text) {
        std::string text;
        for (const auto& fault : report.faults)
            text += file + ": " + toString(fault) + "\n";
        return text + std::to_string(report.faults.size()) + (report.faults.size() == 1 ? " fault\n" : " faults\n");
    }
    json::array faults;
    for (const auto& fault : report.faults)
        faults.push_back(
            json::object { { "line", fault.line }, { "field", fault.field }, { "message", fault.message }, { "remedy", fault.remedy } });
    return line(json::object { { "file", file }, { "valid", false }, { "faults", std::move(faults) } });
}

std::string reportValid(const std::string& file, output_format output)
{
    return output == output_format::text ? file + ": no faults\n"
                                         : line(json::object { { "file", file }, { "valid", true }, { "faults", json::array() } });
}

std::string reportError(const error& failure, output_format output)
{
    if (output == output_format::text)
        return "carawaylink: " + failure.message() + "\nremedy: " + failure.remedy() + "\n";
    return line(json::object { { "error",
        json::object { { "type", std::string(errorKindNames.name(failure.kind())) }, { "message", failure.message() },
            { "remedy", failure.remedy() } } } });
}

std::string reportDifferences(const std::vector<std::string>& lines, config_version version, output_format output)
{
    if (output == output_format::json)
        return line(json::object { { "version", version.value }, { "differences", toArray(lines) } });
    if (lines.empty())
        return "no difference from version " + number(version) + "\n";
    std::string text = "differences from version " + number(version) + ":\n";
    for (const auto& difference : lines)
        text += "  " + difference + "\n";
    return text;
}

std::string reportChange(const change_report& change, output_format output)
{
    if (output == output_format::json)
        return line(json::object { { "id", change.id }, { "result", change.result }, { "version", change.version.value },
            { "message", change.message }, { "differences", toArray(change.differences) },
            { "not_confirmed", toArray(change.notConfirmed) } });
    std::string text;
    if (change.result == "refused")
        return "refused: " + change.message + "\nremedy: compare with config diff, then apply again\n";
    if (change.result == "unknown")
        return "the result of the change is not known within the time limit (record " + change.id
            + (change.message.empty() ? "" : "; " + change.message)
            + ")\nremedy: apply again; a change that was accepted shows no difference then\n";
    if (change.result == "accepted")
        text = "accepted as version " + number(change.version) + "\n";
    if (change.notConfirmed.empty())
        return text + "version " + number(change.version) + " is in force on all live nodes\n";
    text += "version " + number(change.version) + " is not confirmed by:\n";
    for (const auto& node : change.notConfirmed)
        text += "  " + node + "\n";
    return text + "remedy: see carawaylink status; apply again to check once more\n";
}

std::string reportConfigStatus(std::string_view configBody, std::string_view statusBody, output_format output)
{
    const auto config = parseAdminConfig(configBody);
    const auto status = parseAdminStatus(statusBody);
    if (output == output_format::text) {
        std::vector<table_row> rows { { "node", "state", "version" } };
        for (const auto& member : status.members)
            rows.push_back({ member.node, member.state, number(member.version) });
        return "version " + number(config.version) + " at log offset " + std::to_string(config.nextOffset.value) + "\n" + formatTable(rows);
    }
    json::array members;
    for (const auto& member : status.members)
        members.push_back(json::object { { "node", member.node }, { "state", member.state }, { "config_version", member.version.value } });
    return line(json::object { { "version", config.version.value }, { "next_offset", config.nextOffset.value },
        { "document", config.document }, { "members", std::move(members) } });
}

std::string reportExceptions(const schema::fleet_configurationT& configuration, std::chrono::sys_seconds nowUtc, output_format output)
{
    const auto isExpired = [&](const schema::exception_definitionT& exception) {
        const auto expiry = parseUtcTime(exception.expires);
        return expiry && *expiry <= nowUtc;
    };
    if (output == output_format::text) {
        std::vector<table_row> rows { { "id", "scope", "target", "setting", "value", "expires", "author", "reason" } };
        for (const auto& exception : configuration.exceptions)
            rows.push_back({ exception->id, schema::EnumNameexception_scope(exception->scope), exception->target, exception->setting,
                exception->value, exception->expires.empty() ? "never" : exception->expires + (isExpired(*exception) ? " (expired)" : ""),
                exception->author, cell(json::string(exception->reason)) });
        return rows.size() == 1 ? "no exceptions\n" : formatTable(rows);
    }
    json::array list;
    for (const auto& exception : configuration.exceptions)
        list.push_back(json::object { { "id", exception->id }, { "scope", schema::EnumNameexception_scope(exception->scope) },
            { "target", exception->target }, { "setting", exception->setting }, { "value", exception->value },
            { "expires", exception->expires }, { "expired", isExpired(*exception) }, { "author", exception->author },
            { "reason", exception->reason } });
    return line(json::object { { "exceptions", std::move(list) } });
}

std::string reportStatus(std::string_view body, output_format output)
{
    const auto object = parseBody(body);
    if (output == output_format::json)
        return std::string(body) + "\n";
    std::string text = "node " + field(object, "node") + " incarnation " + field(object, "incarnation") + " version "
        + field(object, "version") + (field(object, "draining") == "true" ? " draining" : "") + "\n\n";
    text += listTable(object, "members", { "node", "state", "http_address", "failure_domain", "draining", "config_version" }) + "\n";
    text += listTable(object, "pools", { "service", "pool", "owner", "waiting", "running", "slots" });
    const auto* pools = object.if_contains("pools");
    if (!pools || !pools->is_array())
        return text;
    for (const auto& pool : pools->get_array()) {
        if (!pool.is_object())
            continue;
        text += "\n" + field(pool.get_object(), "service") + " pool " + field(pool.get_object(), "pool") + "\n";
        text += listTable(pool.get_object(), "endpoints",
            { "endpoint", "running", "max_running", "leaving", "ejected", "prefill_tokens_per_s", "ms_per_token" });
    }
    return text;
}

std::string reportUsage(std::string_view body, output_format output)
{
    const auto object = parseBody(body);
    return output == output_format::json
        ? std::string(body) + "\n"
        : listTable(object, "teams", { "team", "tier", "requests", "prompt_tokens", "cached_tokens", "output_tokens", "cost_ms" });
}

std::string reportOrders(std::string_view body, output_format output)
{
    const auto object = parseBody(body);
    return output == output_format::json ? std::string(body) + "\n"
                                         : listTable(object, "orders", { "endpoint", "kind", "name", "state", "fence", "message" });
}

std::string reportExplanation(std::string_view body, output_format output)
{
    const auto object = parseBody(body);
    if (output == output_format::json)
        return std::string(body) + "\n";
    const auto* text = object.if_contains("text");
    if (!text || !text->is_string())
        throw error(error_kind::invalid_message, "the response of the node has no text", "use a carawaylink of the version of the node");
    return std::string(text->get_string().data(), text->get_string().size()) + "\n";
}

std::string reportRollout(std::string_view body, output_format output)
{
    const auto object = parseBody(body);
    if (output == output_format::json)
        return std::string(body) + "\n";
    const auto* status = object.if_contains("status");
    if (!status || !status->is_object())
        throw error(error_kind::invalid_message, "the response of the node has no status", "use a carawaylink of the version of the node");
    const auto& fields = status->get_object();
    std::string text;
    const auto add = [&text](std::string_view name, const json::object& from, std::string_view field) {
        const auto* value = from.if_contains(json::string_view(field.data(), field.size()));
        text += std::string(name) + ": " + (value ? cell(*value) : "-") + "\n";
    };
    add("state", fields, "state");
    add("target", fields, "target");
    add("stage", fields, "stage");
    add("reason", fields, "reason");
    add("share of the target", fields, "share");
    add("elapsed ms", fields, "elapsed_ms");
    add("time ms", fields, "time_ms");
    add("requests", fields, "requests");
    add("requests to the target", fields, "target_requests");
    add("decided by", object, "decides");
    add("answered by", object, "answered_by");
    return text + "\n" + listTable(fields, "evidence", { "route_name", "is_target", "sent", "ended", "bad", "first_ms", "interval_ms" });
}

std::string reportDrain(const std::string& node, output_format output)
{
    return output == output_format::text ? node + " drains: it refuses new requests, finishes its streams and exits\n"
                                         : line(json::object { { "node", node }, { "draining", true } });
}

} // namespace carawaylink
