#include "reader.h"

#include "scalar.h"

#include <set>
#include <yaml-cpp/depthguard.h>
#include <yaml-cpp/yaml.h>

namespace carawaylink::settings_detail {
namespace {

// Aliases let a short text stand for a long one: 200 KB can name a list of 100 KB 50000 times. A text of
// maxConfigurationBytes without aliases has fewer values than this.
constexpr std::size_t maxValues = 500'000;

// isFaulty() walks the faults, so a file in which everything is wrong must not grow the list without bound.
constexpr std::size_t maxFaults = 1000;

// A scalar as long as this is a pasted file, not a setting.
constexpr std::size_t maxScalarBytes = 4096;

bool isUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const auto first = static_cast<unsigned char>(text[i]);
        const std::size_t length = first < 0x80 ? 1
            : first >= 0xc2 && first < 0xe0     ? 2
            : first >= 0xe0 && first < 0xf0     ? 3
            : first >= 0xf0 && first < 0xf5     ? 4
                                                : 0;
        if (length == 0 || i + length > text.size())
            return false;
        std::uint32_t point = length == 1 ? first : first & (0x7fU >> length);
        for (std::size_t k = 1; k < length; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if ((next & 0xc0U) != 0x80U)
                return false;
            point = point << 6 | (next & 0x3fU);
        }
        const bool overlong = (length == 3 && point < 0x800) || (length == 4 && point < 0x10000);
        if (overlong || point > 0x10ffff || (point >= 0xd800 && point < 0xe000))
            return false;
        i += length;
    }
    return true;
}

/// True for control characters other than tab and newline, and for the byte order mark. yaml-cpp does not read all of them
/// back as it wrote them, and terminals act on them.
bool hasControlCharacter(std::string_view text)
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        const auto next = i + 1 < text.size() ? static_cast<unsigned char>(text[i + 1]) : 0U;
        const bool isC0 = (byte < 0x20 && byte != '\t' && byte != '\n') || byte == 0x7f;
        const bool isC1 = byte == 0xc2 && next >= 0x80 && next < 0xa0;
        if (isC0 || isC1 || text.substr(i).starts_with("\xef\xbb\xbf"))
            return true;
    }
    return false;
}

std::size_t lineOf(const YAML::Node& node)
{
    return node.Mark().line < 0 ? 0 : static_cast<std::size_t>(node.Mark().line) + 1;
}

std::string childPath(const std::string& parent, std::string_view name)
{
    return parent.empty() ? std::string(name) : parent + "." + std::string(name);
}

std::string_view kindOf(const YAML::Node& node)
{
    return node.IsMap() ? "a mapping" : node.IsSequence() ? "a list" : node.IsNull() ? "no value" : "a single value";
}

/// Walks a YAML tree along the type tables and builds the buffer bottom-up, as FlatBuffers requires.
class table_reader {
public:
    explicit table_reader(reading& result)
        : m_result(result)
    {
        // A value equal to the schema default is written too, so that it can be set in place later.
        m_builder.ForceDefaults(true);
    }

    using offset = flatbuffers::Offset<void>;

    offset read(const YAML::Node& node, const flatbuffers::TypeTable& type, const std::string& path, const std::string& pattern)
    {
        m_values += type.num_elems;
        std::vector<YAML::Node> values = fieldsOf(node, type, path);
        std::vector<std::optional<std::variant<scalar_value, offset>>> fields(type.num_elems);
        for (std::size_t i = 0; i < type.num_elems; ++i) {
            const std::string fieldPath = childPath(path, type.names[i]);
            const std::string fieldPattern = childPath(pattern, type.names[i]);
            if (values[i].IsDefined()) {
                m_result.lines[fieldPath] = lineOf(values[i]);
                fields[i] = readField(values[i], type, i, fieldPath, fieldPattern);
            } else {
                fields[i] = readAbsent(type, i, fieldPath, fieldPattern);
            }
        }
        return write(fields);
    }

    flatbuffers::DetachedBuffer release(offset root)
    {
        m_builder.Finish(flatbuffers::Offset<flatbuffers::Table>(root.o));
        return m_builder.Release();
    }

private:
    /// The node of each field of the table; undefined where absent. Reports unknown and repeated keys.
    std::vector<YAML::Node> fieldsOf(const YAML::Node& node, const flatbuffers::TypeTable& type, const std::string& path)
    {
        std::vector<YAML::Node> values(type.num_elems, YAML::Node(YAML::NodeType::Undefined));
        if (node.IsNull())
            return values;
        if (!node.IsMap()) {
            m_result.add(path, std::string("is ") + std::string(kindOf(node)) + ", not a mapping", "write \"key: value\" lines");
            return values;
        }
        const auto known = namesOf(type);
        for (const auto& entry : node) {
            const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
            const auto found = std::ranges::find(known, key);
            const std::string keyPath = childPath(path, key);
            if (found == known.end()) {
                m_result.lines[keyPath] = lineOf(entry.first);
                const auto nearest = nearestName(key, known);
                m_result.add(keyPath, "unknown key \"" + key + "\"",
                    nearest ? "did you mean \"" + *nearest + "\"?" : "known keys are " + joinNames(known));
                continue;
            }
            auto& value = values[static_cast<std::size_t>(found - known.begin())];
            if (value.IsDefined()) {
                m_result.lines[keyPath] = lineOf(entry.first);
                m_result.add(keyPath, "key \"" + key + "\" is given twice", "keep one of the two");
                continue;
            }
            value.reset(entry.second);
        }
        return values;
    }

    std::optional<std::variant<scalar_value, offset>> readField(
        const YAML::Node& node, const flatbuffers::TypeTable& type, std::size_t index, const std::string& path, const std::string& pattern)
    {
        const auto* rule = findRule(pattern);
        if (node.IsNull()) {
            m_result.add(path, "has no value", "write a value after the colon or leave the key out");
            return std::nullopt;
        }
        if (type.type_codes[index].is_repeating)
            return readList(node, type, index, path, pattern, rule);
        if (isTable(type, index))
            return read(node, *fieldType(type, index), path, pattern);
        if (!node.IsScalar()) {
            m_result.add(path, "is " + std::string(kindOf(node)) + ", not a single value", "write one value after the colon");
            return std::nullopt;
        }
        if (type.type_codes[index].base_type == flatbuffers::ET_STRING)
            return readText(node, path, rule != nullptr && rule->needed == presence::required);
        // yaml-cpp gives quoted scalars the tag "!".
        if (node.Tag() == "!") {
            m_result.add(path, "\"" + node.Scalar() + "\" is a quoted text", "write the value without quotes");
            return std::nullopt;
        }
        const auto elementary = static_cast<flatbuffers::ElementaryType>(type.type_codes[index].base_type);
        auto value = readScalar(node.Scalar(), elementary, fieldType(type, index), rule);
        if (const auto* fault = std::get_if<value_fault>(&value)) {
            m_result.add(path, fault->message, fault->remedy);
            return std::nullopt;
        }
        return std::get<scalar_value>(value);
    }

    std::optional<std::variant<scalar_value, offset>> readText(const YAML::Node& node, const std::string& path, bool required)
    {
        const std::string& text = node.Scalar();
        if (text.size() > maxScalarBytes) {
            m_result.add(
                path, "has " + std::to_string(text.size()) + " bytes, more than " + std::to_string(maxScalarBytes), "shorten the text");
            return std::nullopt;
        }
        if (hasControlCharacter(text)) {
            m_result.add(path, "holds a control character", "remove it; tab and newline are allowed");
            return std::nullopt;
        }
        if (required && text.empty()) {
            m_result.add(path, "is empty", "write a text; this field is required");
            return std::nullopt;
        }
        return offset(m_builder.CreateString(text).o);
    }

    std::optional<std::variant<scalar_value, offset>> readList(const YAML::Node& node, const flatbuffers::TypeTable& type,
        std::size_t index, const std::string& path, const std::string& pattern, const field_rule* rule)
    {
        if (!node.IsSequence()) {
            m_result.add(path, "is " + std::string(kindOf(node)) + ", not a list", "write \"- element\" lines or [a, b]");
            return std::nullopt;
        }
        if (rule && rule->needed == presence::required && node.size() == 0) {
            m_result.add(path, "is empty", "write at least one element");
            return std::nullopt;
        }
        std::vector<flatbuffers::Offset<flatbuffers::Table>> elements;
        std::size_t position = 0;
        for (const auto& element : node) {
            if (++m_values > maxValues) {
                m_result.add("", "the text stands for more than " + std::to_string(maxValues) + " values", "use fewer aliases");
                break;
            }
            const std::string elementPath = path + "[" + std::to_string(position++) + "]";
            m_result.lines[elementPath] = lineOf(element);
            if (isTable(type, index)) {
                elements.emplace_back(read(element, *fieldType(type, index), elementPath, pattern + "[]").o);
            } else if (!element.IsScalar()) {
                m_result.add(elementPath, "is " + std::string(kindOf(element)) + ", not a single value", "write a text");
            } else if (const auto text = readText(element, elementPath, true)) {
                elements.emplace_back(std::get<offset>(*text).o);
            }
        }
        return offset(m_builder.CreateVector(elements).o);
    }

    std::optional<std::variant<scalar_value, offset>> readAbsent(
        const flatbuffers::TypeTable& type, std::size_t index, const std::string& path, const std::string& pattern)
    {
        const auto* rule = findRule(pattern);
        if (rule && rule->needed == presence::required)
            m_result.add(path, "is missing", "add the key \"" + std::string(type.names[index]) + "\"; it is required");
        // Absent tables get their defaults, but for tls: its absence means plain text.
        if (isTable(type, index) && !type.type_codes[index].is_repeating && pattern != "tls")
            return read(YAML::Node(YAML::NodeType::Null), *fieldType(type, index), path, pattern);
        return std::nullopt;
    }

    offset write(const std::vector<std::optional<std::variant<scalar_value, offset>>>& fields)
    {
        const auto start = m_builder.StartTable();
        for (std::size_t i = 0; i < fields.size(); ++i) {
            if (!fields[i])
                continue;
            const auto slot = flatbuffers::FieldIndexToOffset(static_cast<flatbuffers::voffset_t>(i));
            if (const auto* child = std::get_if<offset>(&*fields[i]))
                m_builder.AddOffset(slot, *child);
            else
                std::visit([&](auto value) { addScalar(slot, value); }, std::get<scalar_value>(*fields[i]));
        }
        return offset(m_builder.EndTable(start));
    }

    void addScalar(flatbuffers::voffset_t slot, bool value) { m_builder.AddElement<std::uint8_t>(slot, value ? 1 : 0); }
    template <typename Scalar> void addScalar(flatbuffers::voffset_t slot, Scalar value) { m_builder.AddElement<Scalar>(slot, value); }

    reading& m_result;
    std::size_t m_values = 0;
    flatbuffers::FlatBufferBuilder m_builder;
};

YAML::Node parse(std::string_view text, reading& result)
{
    if (text.size() > maxConfigurationBytes) {
        result.add(
            "", "the text has " + std::to_string(text.size()) + " bytes, more than " + std::to_string(maxConfigurationBytes), "shorten it");
        return {};
    }
    if (!isUtf8(text)) {
        result.add("", "the text is not UTF-8", "save the file as UTF-8");
        return {};
    }
    // yaml-cpp takes U+0004 for the end of the text and would leave out what follows.
    const auto control = std::ranges::find_if(text, [](unsigned char c) { return c < ' ' && c != '\t' && c != '\n' && c != '\r'; });
    if (control != text.end()) {
        const auto line = static_cast<std::size_t>(std::ranges::count(text.begin(), control, '\n')) + 1;
        result.report.faults.push_back({ line, "", "the line holds a control character", "remove it" });
        return {};
    }
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::DeepRecursion& failure) {
        const auto line = static_cast<std::size_t>(std::max(failure.mark.line, -1) + 1);
        result.report.faults.push_back({ line, "", "values are nested too deeply", "nest no deeper than the samples do" });
        return {};
    } catch (const YAML::Exception& failure) {
        result.report.faults.push_back({ failure.mark.line < 0 ? 0 : static_cast<std::size_t>(failure.mark.line) + 1, "",
            "the text is not YAML: " + failure.msg, "correct the line; indent with blanks" });
        return {};
    }
}

} // namespace

void reading::add(const std::string& field, std::string message, std::string remedy)
{
    if (report.faults.size() > maxFaults)
        return;
    if (report.faults.size() == maxFaults) {
        report.faults.push_back({ 0, "", "there are more than " + std::to_string(maxFaults) + " faults", "correct these first" });
        return;
    }
    std::string enclosing = field;
    auto found = lines.find(enclosing);
    while (found == lines.end() && !enclosing.empty()) {
        const auto cut = enclosing.find_last_of(".[");
        enclosing.resize(cut == std::string::npos ? 0 : cut);
        found = lines.find(enclosing);
    }
    report.faults.push_back({ found == lines.end() ? 0 : found->second, field, std::move(message), std::move(remedy) });
}

bool reading::isFaulty(std::string_view field) const
{
    const auto encloses = [](std::string_view outer, std::string_view inner) {
        return inner.starts_with(outer)
            && (outer.empty() || inner.size() == outer.size() || inner[outer.size()] == '.' || inner[outer.size()] == '[');
    };
    return std::ranges::any_of(
        report.faults, [&](const settings_fault& fault) { return encloses(fault.field, field) || encloses(field, fault.field); });
}

flatbuffers::DetachedBuffer readTable(std::string_view text, const flatbuffers::TypeTable& type, reading& result)
{
    const YAML::Node root = parse(text, result);
    table_reader reader(result);
    if (result.report.faults.empty())
        return reader.release(reader.read(root, type, "", ""));
    // What is missing in a text that cannot be parsed is not known.
    const auto faults = result.report.faults;
    auto empty = reader.release(reader.read(YAML::Node(YAML::NodeType::Null), type, "", ""));
    result.report.faults = faults;
    return empty;
}

bool finish(reading& result, settings_report& report)
{
    auto& faults = result.report.faults;
    std::ranges::stable_sort(faults, {}, &settings_fault::line);
    report.faults.insert(report.faults.end(), faults.begin(), faults.end());
    return faults.empty();
}

} // namespace carawaylink::settings_detail
