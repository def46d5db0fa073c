#pragma once

#include "settings/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace carawaylink {

/// One field that differs; list elements are named by their key, as in "teams[choir-1].weight".
struct config_difference {
    std::string path;
    std::optional<std::string> before; ///< nothing where the field was added
    std::optional<std::string> after; ///< nothing where the field was removed
};

/// "+ path: value", "- path: value" or "~ path: before -> after".
std::string toString(const config_difference& difference);

/// Differences in the order of their paths. A list whose elements only changed places differs as "teams (order)".
std::vector<config_difference> differencesOf(const schema::fleet_configurationT& before, const schema::fleet_configurationT& after);

/// The differences as lines for a reader; empty where the two are equal.
std::vector<std::string> diffConfigurations(const schema::fleet_configurationT& before, const schema::fleet_configurationT& after);

} // namespace carawaylink
