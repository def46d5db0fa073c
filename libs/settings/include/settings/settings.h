#pragma once

#include "settings/generated/settings_generated.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// Largest fleet configuration, as canonical YAML and as written: with its envelope it fits into one frame between nodes.
inline constexpr std::size_t maxConfigurationBytes = 1'000'000;

/// One thing that is wrong in a settings file.
struct settings_fault {
    std::size_t line = 0; ///< first line is 1; 0 where the fault concerns no line
    std::string field; ///< path such as "teams[2].weight"; empty for the file as a whole
    std::string message; ///< names the value and the allowed range
    std::string remedy;
};

/// Everything that is wrong in a settings file, in the order of its lines.
struct settings_report {
    std::vector<settings_fault> faults;
};

/// "line 3: teams[2].weight: MESSAGE; remedy: REMEDY".
std::string toString(const settings_fault& fault);
/// One line per fault, each ended by a newline.
std::string toString(const settings_report& report);

/// Reads the settings of one carawaylinkd. Returns nothing and adds to `report` when the text has any fault.
/// `timing` and `limits` are always set in the result; `tls` only where the file has it.
std::optional<schema::daemon_settingsT> loadDaemonSettings(std::string_view text, settings_report& report);

/// Reads a fleet configuration. Returns nothing and adds to `report` when the text has any fault.
/// `defaults` is always set in the result. Whether an exception has expired is no fault: the result depends on the text only.
std::optional<schema::fleet_configurationT> loadFleetConfiguration(std::string_view text, settings_report& report);

/// Canonical YAML: fields in schema order, every scalar explicit, empty texts and lists left out.
/// loadFleetConfiguration(toYaml(c)) gives an object equal to a valid c.
std::string toYaml(const schema::fleet_configurationT& configuration);

/// Leaf values by path. Elements of a list are named by their key: "teams[choir-1].weight", "tiers[0].name".
std::map<std::string, std::string> flattenConfiguration(const schema::fleet_configurationT& configuration);

/// Sets one field of the fleet defaults from text, checked like the same field in a file.
/// Returns the fault, with line 0, and leaves `defaults` unchanged where name or value is not valid.
std::optional<settings_fault> setDefault(schema::fleet_defaultsT& defaults, std::string_view name, std::string_view value);

/// Reads an RFC 3339 time in UTC such as 2027-01-31T08:00:00Z.
std::optional<std::chrono::sys_seconds> parseUtcTime(std::string_view text);

} // namespace carawaylink
