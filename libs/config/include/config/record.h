#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace carawaylink {

enum class config_record_kind {
    change,
    snapshot,
    reset, ///< last resort of an operator after records were lost unread; in force whatever the version before it
};

inline constexpr auto configRecordKindNames = enumTable<config_record_kind>({
    { config_record_kind::change, "change" },
    { config_record_kind::snapshot, "snapshot" },
    { config_record_kind::reset, "reset" },
});

/// One record of the log stream `config`.
struct config_record {
    std::string id; ///< chosen at random by the author's program; the same in every repetition of one append
    std::string author;
    config_version baseVersion; ///< change: the version it was made on; snapshot: the version of its document; reset: not used
    config_record_kind kind = config_record_kind::change;
    std::string document; ///< canonical YAML of a fleet configuration
    /// Snapshots only: the document is the result of all records before this offset. Changes may stand between this offset
    /// and the snapshot itself, so a fold that starts here has to fold those too.
    std::optional<log_offset> nextOffset;
};

/// The data of a log record, in JSON.
std::string toJson(const config_record& record);

/// Throws error(invalid_message) where the text is no record; the message names the field.
config_record parseConfigRecord(std::string_view text);

} // namespace carawaylink
