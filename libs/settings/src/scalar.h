#pragma once

#include "field_rules.h"

#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawaylink::settings_detail {

/// A scalar in the width of its schema field.
using scalar_value = std::variant<bool, std::uint8_t, std::uint32_t, double>;

/// What is wrong with the text of a value.
struct value_fault {
    std::string message;
    std::string remedy;
};

/// Reads a scalar of a schema type and checks it against the rule, which may be nullptr.
/// `names` is the type table of an enum, or nullptr. Throws error(internal) for a schema type that no settings table uses.
std::variant<scalar_value, value_fault> readScalar(
    std::string_view text, flatbuffers::ElementaryType type, const flatbuffers::TypeTable* names, const field_rule* rule);

/// Shortest decimal text that reads back as the same number.
std::string formatNumber(double value);

/// The candidate with the smallest edit distance, where that is at most half of the length of `text`.
std::optional<std::string> nearestName(std::string_view text, const std::vector<std::string>& candidates);

/// Names of the fields of a table or the values of an enum, in schema order.
std::vector<std::string> namesOf(const flatbuffers::TypeTable& table);

/// "a, b, c".
std::string joinNames(const std::vector<std::string>& names);

/// Type table of a field that is a table or an enum, else nullptr.
const flatbuffers::TypeTable* fieldType(const flatbuffers::TypeTable& table, std::size_t field);

/// True for a field, or an element of a list, that is a table.
bool isTable(const flatbuffers::TypeTable& table, std::size_t field);

} // namespace carawaylink::settings_detail
