#include "scalar.h"

#include "base/error.h"

#include <array>
#include <charconv>
#include <cmath>
#include <numeric>

namespace carawaylink::settings_detail {
namespace {

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
        }
    }
    return row.back();
}

std::string quoted(std::string_view text)
{
    // A value in a message stays short enough for one line of a terminal.
    constexpr std::size_t maxQuotedLength = 80;
    return "\"" + std::string(text.substr(0, maxQuotedLength)) + (text.size() > maxQuotedLength ? "...\"" : "\"");
}

value_fault wrongType(std::string_view text, std::string_view expected)
{
    return { quoted(text) + " is not " + std::string(expected), "write " + std::string(expected) };
}

std::optional<value_fault> checkRange(double value, std::string_view text, double minimum, double maximum, std::string_view unit)
{
    if (value >= minimum && value <= maximum)
        return std::nullopt;
    const std::string range = formatNumber(minimum) + " to " + formatNumber(maximum) + (unit.empty() ? "" : " " + std::string(unit));
    return value_fault { quoted(text) + " is outside the allowed range " + range, "use a value in the range " + range };
}

template <typename Integer> std::variant<scalar_value, value_fault> readInteger(std::string_view text, const field_rule* rule)
{
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status == std::errc::invalid_argument || end != text.data() + text.size())
        return wrongType(text, "a whole number");
    constexpr double typeMaximum = std::numeric_limits<Integer>::max();
    const double number = status == std::errc::result_out_of_range ? std::numeric_limits<double>::infinity() : static_cast<double>(value);
    const auto fault = checkRange(number, text, rule ? std::max(rule->minimum, 0.0) : 0.0,
        rule ? std::min(rule->maximum, typeMaximum) : typeMaximum, rule ? rule->unit : "");
    if (fault)
        return *fault;
    return scalar_value(static_cast<Integer>(value));
}

std::variant<scalar_value, value_fault> readDouble(std::string_view text, const field_rule* rule)
{
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return wrongType(text, "a number");
    if (rule) {
        if (const auto fault = checkRange(value, text, rule->minimum, rule->maximum, rule->unit))
            return *fault;
    }
    // A negative zero would be written as "-0" and differ from a file that says 0.
    return scalar_value(value == 0 ? 0.0 : value);
}

std::variant<scalar_value, value_fault> readEnum(std::string_view text, const flatbuffers::TypeTable& names)
{
    const auto known = namesOf(names);
    const auto found = std::ranges::find(known, text);
    if (found != known.end()) {
        const auto index = static_cast<std::size_t>(found - known.begin());
        return scalar_value(static_cast<std::uint8_t>(names.values ? names.values[index] : static_cast<std::int64_t>(index)));
    }
    const auto nearest = nearestName(text, known);
    return value_fault { quoted(text) + " is none of " + joinNames(known),
        nearest ? "did you mean \"" + *nearest + "\"?" : "use one of " + joinNames(known) };
}

} // namespace

std::variant<scalar_value, value_fault> readScalar(
    std::string_view text, flatbuffers::ElementaryType type, const flatbuffers::TypeTable* names, const field_rule* rule)
{
    switch (type) {
    case flatbuffers::ET_BOOL:
        if (text == "true" || text == "false")
            return scalar_value(text == "true");
        return wrongType(text, "true or false");
    case flatbuffers::ET_UCHAR:
        return names ? readEnum(text, *names) : readInteger<std::uint8_t>(text, rule);
    case flatbuffers::ET_UINT:
        return readInteger<std::uint32_t>(text, rule);
    case flatbuffers::ET_DOUBLE:
        return readDouble(text, rule);
    default:
        throw error(error_kind::internal, "schema type " + std::to_string(type) + " has no reader", "add it to readScalar()");
    }
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto [end, status] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    // Whole numbers below 2^53 read better without an exponent: 1000000, not 1e+06.
    if (value == std::floor(value) && std::abs(value) < 9e15)
        return std::to_string(static_cast<std::int64_t>(value));
    return { buffer.data(), end };
}

std::optional<std::string> nearestName(std::string_view text, const std::vector<std::string>& candidates)
{
    const auto nearest = std::ranges::min_element(candidates, {}, [&](const std::string& name) { return editDistance(text, name); });
    if (nearest == candidates.end() || editDistance(text, *nearest) * 2 > text.size())
        return std::nullopt;
    return *nearest;
}

std::vector<std::string> namesOf(const flatbuffers::TypeTable& table)
{
    return { table.names, table.names + table.num_elems };
}

std::string joinNames(const std::vector<std::string>& names)
{
    std::string joined;
    for (const auto& name : names)
        joined += (joined.empty() ? "" : ", ") + name;
    return joined;
}

const flatbuffers::TypeTable* fieldType(const flatbuffers::TypeTable& table, std::size_t field)
{
    const auto reference = table.type_codes[field].sequence_ref;
    return reference < 0 ? nullptr : table.type_refs[reference]();
}

bool isTable(const flatbuffers::TypeTable& table, std::size_t field)
{
    return table.type_codes[field].base_type == flatbuffers::ET_SEQUENCE;
}

} // namespace carawaylink::settings_detail
