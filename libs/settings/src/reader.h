#pragma once

#include "settings/settings.h"

#include <flatbuffers/flatbuffers.h>
#include <map>
#include <string>
#include <string_view>

namespace carawaylink::settings_detail {

/// Faults found so far and the line on which each field stands.
struct reading {
    std::map<std::string, std::size_t> lines;
    settings_report report;

    /// Adds a fault at the line of the field, or of the nearest enclosing field that stands in the text.
    void add(const std::string& field, std::string message, std::string remedy);
    /// True where the field, something inside it or something around it has a fault.
    bool isFaulty(std::string_view field) const;
};

/// Reads YAML into a finished buffer of the table `type`. All faults of form, type, range and presence go to `result`;
/// the buffer then holds the fields without a fault.
flatbuffers::DetachedBuffer readTable(std::string_view text, const flatbuffers::TypeTable& type, reading& result);

/// Adds the faults to `report` in the order of their lines; returns true when there is none.
bool finish(reading& result, settings_report& report);

} // namespace carawaylink::settings_detail
