#pragma once

#include "base/error.h"
#include "cli/command_line.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// Texts that the command line prints, each ended by a newline, as text or as one JSON object.

std::string reportFaults(const settings_report& report, const std::string& file, output_format output);
std::string reportValid(const std::string& file, output_format output);
std::string reportError(const error& failure, output_format output);

/// Differences between version `version` and a file.
std::string reportDifferences(const std::vector<std::string>& lines, config_version version, output_format output);

/// How a change ended.
struct change_report {
    std::string id;
    std::string result; ///< unchanged, accepted, refused or unknown
    config_version version;
    std::string message;
    std::vector<std::string> differences;
    std::vector<std::string> notConfirmed; ///< live nodes that do not report the version yet
};
std::string reportChange(const change_report& change, output_format output);

std::string reportConfigStatus(std::string_view configBody, std::string_view statusBody, output_format output);
std::string reportExceptions(const schema::fleet_configurationT& configuration, std::chrono::sys_seconds nowUtc, output_format output);
std::string reportStatus(std::string_view body, output_format output);
std::string reportUsage(std::string_view body, output_format output);
std::string reportOrders(std::string_view body, output_format output);
std::string reportExplanation(std::string_view body, output_format output);
std::string reportRollout(std::string_view body, output_format output);
std::string reportDrain(const std::string& node, output_format output);

} // namespace carawaylink
