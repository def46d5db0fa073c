#include "scalar.h"
#include "settings/settings.h"

#include "base/error.h"

#include <flatbuffers/minireflect.h>
#include <yaml-cpp/yaml.h>

namespace carawaylink {
namespace {

using namespace settings_detail;

flatbuffers::DetachedBuffer pack(const schema::fleet_configurationT& configuration)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(true);
    builder.Finish(schema::fleet_configuration::Pack(builder, &configuration));
    return builder.Release();
}

/// Text of a scalar field of a buffer that was built with ForceDefaults.
std::string scalarText(const flatbuffers::Table& table, const flatbuffers::TypeTable& type, std::size_t field)
{
    const auto slot = flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(field));
    const auto* names = fieldType(type, field);
    switch (type.type_codes[field].base_type) {
    case flatbuffers::ET_BOOL:
        return table.GetField<std::uint8_t>(slot, 0) != 0 ? "true" : "false";
    case flatbuffers::ET_UCHAR: {
        const auto value = table.GetField<std::uint8_t>(slot, 0);
        return names ? std::string(flatbuffers::EnumName(value, names)) : std::to_string(value);
    }
    case flatbuffers::ET_UINT:
        return std::to_string(table.GetField<std::uint32_t>(slot, 0));
    case flatbuffers::ET_DOUBLE:
        return formatNumber(table.GetField<double>(slot, 0));
    default:
        throw error(error_kind::internal, "schema type " + std::to_string(type.type_codes[field].base_type) + " has no writer",
            "add it to scalarText()");
    }
}

using table_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::Table>>;
using text_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

void writeTable(YAML::Emitter& out, const flatbuffers::Table& table, const flatbuffers::TypeTable& type)
{
    out << YAML::BeginMap;
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        const auto slot = flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(i));
        const auto& code = type.type_codes[i];
        const bool isOffset = code.is_repeating || isTable(type, i) || code.base_type == flatbuffers::ET_STRING;
        if (isOffset && !table.CheckField(slot))
            continue;
        if (code.is_repeating && table.GetPointer<const table_list*>(slot)->size() == 0)
            continue;
        out << YAML::Key << type.names[i] << YAML::Value;
        if (code.is_repeating && isTable(type, i)) {
            out << YAML::BeginSeq;
            for (const auto* element : *table.GetPointer<const table_list*>(slot))
                writeTable(out, *element, *fieldType(type, i));
            out << YAML::EndSeq;
        } else if (code.is_repeating) {
            out << YAML::Flow << YAML::BeginSeq;
            for (const auto* element : *table.GetPointer<const text_list*>(slot))
                out << element->str();
            out << YAML::EndSeq;
        } else if (isTable(type, i)) {
            writeTable(out, *table.GetPointer<const flatbuffers::Table*>(slot), *fieldType(type, i));
        } else if (code.base_type == flatbuffers::ET_STRING) {
            out << table.GetPointer<const flatbuffers::String*>(slot)->str();
        } else {
            out << scalarText(table, type, i);
        }
    }
    out << YAML::EndMap;
}

/// The field that tells the elements of a list apart: the first one named id, name or level.
std::string elementKey(const flatbuffers::Table& table, const flatbuffers::TypeTable& type)
{
    const auto names = namesOf(type);
    const auto key = std::ranges::find_if(names, [](const std::string& name) { return name == "id" || name == "name" || name == "level"; });
    if (key == names.end())
        return "";
    const auto field = static_cast<std::size_t>(key - names.begin());
    if (type.type_codes[field].base_type != flatbuffers::ET_STRING)
        return scalarText(table, type, field);
    const auto* text
        = table.GetPointer<const flatbuffers::String*>(flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(field)));
    return text ? text->str() : "";
}

void flatten(const flatbuffers::Table& table, const flatbuffers::TypeTable& type, const std::string& prefix,
    std::map<std::string, std::string>& leaves)
{
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        const auto slot = flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(i));
        const auto& code = type.type_codes[i];
        const std::string path = prefix + type.names[i];
        const bool isOffset = code.is_repeating || isTable(type, i) || code.base_type == flatbuffers::ET_STRING;
        if (isOffset && !table.CheckField(slot))
            continue;
        if (code.is_repeating && isTable(type, i)) {
            for (const auto* element : *table.GetPointer<const table_list*>(slot))
                flatten(*element, *fieldType(type, i), path + "[" + elementKey(*element, *fieldType(type, i)) + "].", leaves);
        } else if (code.is_repeating) {
            std::vector<std::string> texts;
            for (const auto* element : *table.GetPointer<const text_list*>(slot))
                texts.push_back(element->str());
            leaves[path] = "[" + joinNames(texts) + "]";
        } else if (isTable(type, i)) {
            flatten(*table.GetPointer<const flatbuffers::Table*>(slot), *fieldType(type, i), path + ".", leaves);
        } else if (code.base_type == flatbuffers::ET_STRING) {
            leaves[path] = table.GetPointer<const flatbuffers::String*>(slot)->str();
        } else {
            leaves[path] = scalarText(table, type, i);
        }
    }
}

} // namespace

std::string toYaml(const schema::fleet_configurationT& configuration)
{
    const auto buffer = pack(configuration);
    YAML::Emitter out;
    writeTable(out, *flatbuffers::GetRoot<flatbuffers::Table>(buffer.data()), *schema::fleet_configurationTypeTable());
    return std::string(out.c_str(), out.size()) + "\n";
}

std::map<std::string, std::string> flattenConfiguration(const schema::fleet_configurationT& configuration)
{
    const auto buffer = pack(configuration);
    std::map<std::string, std::string> leaves;
    flatten(*flatbuffers::GetRoot<flatbuffers::Table>(buffer.data()), *schema::fleet_configurationTypeTable(), "", leaves);
    return leaves;
}

std::optional<settings_fault> setDefault(schema::fleet_defaultsT& defaults, std::string_view name, std::string_view value)
{
    const auto& type = *schema::fleet_defaultsTypeTable();
    const auto names = namesOf(type);
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        const auto nearest = nearestName(name, names);
        return settings_fault { 0, std::string(name), "\"" + std::string(name) + "\" is no field of the defaults",
            nearest ? "did you mean \"" + *nearest + "\"?" : "known settings are " + joinNames(names) };
    }
    const auto field = static_cast<std::size_t>(found - names.begin());
    const auto elementary = static_cast<flatbuffers::ElementaryType>(type.type_codes[field].base_type);
    const auto read = readScalar(value, elementary, fieldType(type, field), findRule("defaults." + std::string(name)));
    if (const auto* fault = std::get_if<value_fault>(&read))
        return settings_fault { 0, std::string(name), fault->message, fault->remedy };
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(true);
    builder.Finish(schema::fleet_defaults::Pack(builder, &defaults));
    auto* table = flatbuffers::GetMutableRoot<flatbuffers::Table>(builder.GetBufferPointer());
    const auto slot = flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(field));
    std::visit(
        [&](auto scalar) {
            using stored = std::conditional_t<std::is_same_v<decltype(scalar), bool>, std::uint8_t, decltype(scalar)>;
            table->SetField<stored>(slot, static_cast<stored>(scalar), stored {});
        },
        std::get<scalar_value>(read));
    flatbuffers::GetRoot<schema::fleet_defaults>(builder.GetBufferPointer())->UnPackTo(&defaults);
    return std::nullopt;
}

} // namespace carawaylink
