#pragma once

namespace carawaylink {

/// Exit codes of carawaylink; documented in docs/cli.md and in --help.
enum class exit_code {
    done = 0,
    failed = 1, ///< refused or failed
    invalid = 2, ///< wrong usage or an invalid file
    no_answer = 3, ///< no node answered
    not_confirmed = 4, ///< not known to be in force on all nodes within the time limit
};

} // namespace carawaylink
