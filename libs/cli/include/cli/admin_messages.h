#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// The parts of a node's operator interface that the command line decides on. All parsers throw error(invalid_message).

/// GET /admin/config.
struct admin_config {
    config_version version;
    log_offset nextOffset;
    std::string document; ///< empty at version 0
};
admin_config parseAdminConfig(std::string_view body);

/// One member in GET /admin/status.
struct admin_member {
    std::string node;
    std::string state;
    config_version version;

    /// A suspected member may still serve requests, so a change has to reach it too.
    bool isLive() const { return state != "dead" && state != "left"; }
};
struct admin_status {
    config_version version; ///< of the node that answered
    std::vector<admin_member> members;
};
admin_status parseAdminStatus(std::string_view body);

/// Answer to a configuration record.
struct admin_record_result {
    std::string result; ///< accepted, refused, pending or undetermined
    config_version version;
    std::string message;
};
admin_record_result parseAdminRecordResult(std::string_view body);

/// Message and remedy of an error response; a text that says so where the body has another form.
struct admin_failure {
    std::string message;
    std::string remedy;
};
admin_failure parseAdminFailure(unsigned status, std::string_view body);

} // namespace carawaylink
