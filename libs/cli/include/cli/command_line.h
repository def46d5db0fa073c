#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "settings/settings.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace carawaylink {

enum class cli_verb {
    config_check,
    config_diff,
    config_apply,
    config_status,
    exception_add,
    exception_remove,
    exception_list,
    status,
    explain,
    drain,
    usage,
    orders,
    rollout_status,
};

enum class output_format {
    text,
    json,
};

inline constexpr auto outputFormatNames = enumTable<output_format>({
    { output_format::text, "text" },
    { output_format::json, "json" },
});

/// What the operator asked for.
struct cli_request {
    cli_verb verb = cli_verb::status;
    output_format output = output_format::text;
    std::vector<std::string> nodes; ///< HTTP addresses, tried in this order
    std::string key; ///< never printed
    std::string file;
    bool isDaemonFile = false; ///< config check: the file holds settings of a daemon
    bool isReset = false; ///< config apply: publish whatever the version in force
    bool printDocument = false; ///< config status: print the YAML in force
    std::string requestId;
    std::string service; ///< rollout status
    std::vector<std::string> logFiles; ///< explain: logs of nodes to read in place of asking one
    std::string author;
    duration limit = std::chrono::seconds(14); ///< for a change to be in force everywhere
    schema::exception_definitionT exception; ///< exception add; exception remove uses the id only
};

/// Nothing is left to do but to print the text and to exit: --help, --version or wrong usage.
struct cli_early_exit {
    int code = 0;
    std::string text;
};

/// `arguments` excludes the program name. `environment` supplies CARAWAYLINK_OPERATOR_KEY and USER.
std::variant<cli_request, cli_early_exit> parseCommandLine(
    std::vector<std::string> arguments, const std::map<std::string, std::string>& environment);

} // namespace carawaylink
