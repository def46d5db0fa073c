#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace carawaylink {

/// Maps the values of an enum class to their names and back.
///
///     enum class color { red, green };
///     inline constexpr auto colorNames = enumTable<color>({ { color::red, "red" }, { color::green, "green" } });
template <typename Enum, std::size_t Size> struct enum_table {
    std::array<std::pair<Enum, std::string_view>, Size> entries;

    /// Returns the name, or "unknown" for a value that is not in the table.
    constexpr std::string_view name(Enum value) const
    {
        const auto found = std::ranges::find(entries, value, &std::pair<Enum, std::string_view>::first);
        return found == entries.end() ? std::string_view("unknown") : found->second;
    }

    constexpr std::optional<Enum> parse(std::string_view text) const
    {
        const auto found = std::ranges::find(entries, text, &std::pair<Enum, std::string_view>::second);
        return found == entries.end() ? std::nullopt : std::optional(found->first);
    }
};

template <typename Enum, std::size_t Size>
constexpr enum_table<Enum, Size> enumTable(const std::pair<Enum, std::string_view> (&entries)[Size])
{
    enum_table<Enum, Size> table {};
    std::ranges::copy(entries, table.entries.begin());
    return table;
}

} // namespace carawaylink
