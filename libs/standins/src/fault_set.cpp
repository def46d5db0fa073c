#include "standins/fault_set.h"

#include "base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdint>
#include <sstream>

namespace carawaylink {

namespace json = boost::json;

namespace {

double readValue(const fault_definition& definition, const json::value& value)
{
    const std::string name(definition.name);
    if (definition.kind == fault_kind::flag) {
        if (!value.is_bool())
            throw error(error_kind::invalid_argument, "switch \"" + name + "\" is not a boolean", "use true or false");
        return value.get_bool() ? 1 : 0;
    }
    if (!value.is_number())
        throw error(error_kind::invalid_argument, "switch \"" + name + "\" is not a number", "use a number");
    const auto number = value.to_number<double>();
    if (!(number >= definition.minimum && number <= definition.maximum)) {
        std::ostringstream range;
        range << definition.minimum << " to " << definition.maximum;
        throw error(error_kind::invalid_argument, "switch \"" + name + "\" is out of range", "use " + range.str());
    }
    return number;
}

} // namespace

fault_set::fault_set(std::span<const fault_definition> definitions)
    : m_definitions(definitions)
{
    std::ranges::transform(definitions, std::back_inserter(m_values), &fault_definition::initial);
}

void fault_set::apply(std::string_view text)
{
    boost::system::error_code failure;
    const json::value document = json::parse(text, failure);
    if (failure || !document.is_object())
        throw error(error_kind::invalid_argument, "the body is not a JSON object", "send {\"SWITCH\":VALUE, ...}");
    auto values = m_values;
    for (const auto& member : document.get_object()) {
        const auto found = std::ranges::find(m_definitions, std::string_view(member.key()), &fault_definition::name);
        if (found == m_definitions.end())
            throw error(error_kind::invalid_argument, "switch \"" + std::string(member.key()) + "\" does not exist",
                "GET /faults lists all switches");
        values[static_cast<std::size_t>(found - m_definitions.begin())] = readValue(*found, member.value());
    }
    m_values = std::move(values);
}

std::string fault_set::toJson() const
{
    json::object document;
    for (std::size_t i = 0; i < m_definitions.size(); ++i) {
        if (m_definitions[i].kind == fault_kind::flag)
            document[m_definitions[i].name] = m_values[i] != 0;
        else if (m_values[i] == std::floor(m_values[i]))
            document[m_definitions[i].name] = static_cast<std::int64_t>(m_values[i]);
        else
            document[m_definitions[i].name] = m_values[i];
    }
    return json::serialize(document);
}

} // namespace carawaylink
