#pragma once

#include "base/enum_table.h"
#include "base/ids.h"

#include <string>
#include <string_view>

namespace carawaylink {

/// One run of a node that sends orders.
struct order_holder {
    node_id node;
    incarnation run;

    friend auto operator<=>(const order_holder&, const order_holder&) = default;
};

enum class order_record_kind {
    lease,
    /// Ends the lease that `subject` names.
    release,
    /// Claims a load permit.
    permit,
    /// Extends the claim that `subject` names.
    permit_renewal,
    /// Ends the claim that `subject` names.
    permit_end,
};

inline constexpr auto orderRecordKindNames = enumTable<order_record_kind>({
    { order_record_kind::lease, "lease" },
    { order_record_kind::release, "release" },
    { order_record_kind::permit, "permit" },
    { order_record_kind::permit_renewal, "permit_renewal" },
    { order_record_kind::permit_end, "permit_end" },
});

/// A record of the log stream "orders".
struct order_record {
    order_record_kind kind = order_record_kind::lease;
    /// Unique for each append.
    std::string id;
    service_id service;
    order_holder holder;
    /// For lease, permit and permit_renewal.
    duration ttl {};
    /// Id of the record that this record ends or extends.
    std::string subject;
    /// For permit_renewal: offset of the claim, which is its queue position.
    log_offset since;
};

std::string toJson(const order_record& record);
/// Throws error(invalid_message) if the text is not a valid record.
order_record parseOrderRecord(std::string_view text);

} // namespace carawaylink
