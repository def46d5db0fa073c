#pragma once

#include "base/error.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace carawaylink::load {

/// Reads the fields of one YAML map; every error names file, line, field and accepted range.
class yaml_fields {
public:
    yaml_fields(YAML::Node node, std::string file, std::initializer_list<std::string_view> known)
        : m_node(std::move(node))
        , m_file(std::move(file))
    {
        if (!m_node.IsMap())
            fail("", "a map is expected here");
        for (const auto& entry : m_node) {
            const auto key = entry.first.as<std::string>();
            if (std::ranges::find(known, key) == known.end())
                fail(key, "is not known");
        }
    }

    double number(const std::string& key, double fallback, double low, double high) const
    {
        if (!m_node[key])
            return fallback;
        double value = 0;
        if (!YAML::convert<double>::decode(m_node[key], value) || !(value >= low && value <= high))
            fail(key, "must be a number from " + shortNumber(low) + " to " + shortNumber(high));
        return value;
    }

    std::string text(const std::string& key) const
    {
        if (!m_node[key] || !m_node[key].IsScalar() || m_node[key].Scalar().empty())
            fail(key, "must be a non-empty string");
        return m_node[key].Scalar();
    }

    bool has(const std::string& key) const { return static_cast<bool>(m_node[key]); }
    YAML::Node child(const std::string& key) const { return m_node[key]; }

    [[noreturn]] void fail(const std::string& key, const std::string& rule) const
    {
        const auto line = std::to_string(m_node.Mark().line + 1);
        throw error(error_kind::invalid_settings, m_file + ":" + line + ": field " + key + " " + rule, "correct the file");
    }

private:
    static std::string shortNumber(double value)
    {
        auto result = std::to_string(value);
        result.erase(result.find_last_not_of('0') + 1);
        if (result.ends_with('.'))
            result.pop_back();
        return result;
    }

    YAML::Node m_node;
    std::string m_file;
};

/// Loads a YAML file; throws error(not_found) or error(invalid_settings).
inline YAML::Node loadYaml(const std::string& path)
{
    try {
        return YAML::LoadFile(path);
    } catch (const YAML::BadFile&) {
        throw error(error_kind::not_found, path + " cannot be opened", "check the path");
    } catch (const YAML::Exception& failure) {
        throw error(error_kind::invalid_settings, path + ": " + failure.what(), "correct the file");
    }
}

} // namespace carawaylink::load
