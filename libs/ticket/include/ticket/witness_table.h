#pragma once

#include "base/enum_table.h"
#include "ticket/ticket.h"

#include <cstddef>
#include <memory>

namespace carawaylink {

enum class intent_result {
    accepted,
    /// The ticket was closed by a query before.
    closed,
    /// The ticket is at or below the watermark of its home and no longer remembered.
    forgotten,
    /// The ticket names another witness.
    foreign,
    /// Another request recorded an intent with the ticket; a correct home never causes this.
    conflict,
};

inline constexpr auto intentResultNames = enumTable<intent_result>({
    { intent_result::accepted, "accepted" },
    { intent_result::closed, "closed" },
    { intent_result::forgotten, "forgotten" },
    { intent_result::foreign, "foreign" },
    { intent_result::conflict, "conflict" },
});

enum class witness_state {
    /// No intent was recorded and none will be: the request has not run.
    closed,
    /// An intent was recorded: the request may run or have run at the endpoint.
    intent,
    /// The record is gone, or this is not the ticket's witness.
    unknown,
};

inline constexpr auto witnessStateNames = enumTable<witness_state>({
    { witness_state::closed, "closed" },
    { witness_state::intent, "intent" },
    { witness_state::unknown, "unknown" },
});

struct witness_answer {
    witness_state state = witness_state::unknown;
    request_id request;
    endpoint_id endpoint;
};

/// Intents and closed tickets that one process witnesses for other homes. Bounded in memory: the oldest entries are dropped and
/// the watermark of their home rises past them. The number of home incarnations is bounded too: the least recently used one is
/// forgotten with its entries. Tickets that it may have used are then refused as intent ("forgotten") and answered "unknown";
/// its later tickets are accepted again. Not thread-safe; does no I/O and reads no clock.
class witness_table {
public:
    /// capacity: entries remembered, which is capacity / (intents per second) seconds; choose more than the lifetime of tickets.
    /// maxHomes: home incarnations remembered; choose several times the number of nodes.
    witness_table(process_identity self, std::size_t capacity, std::size_t maxHomes = 4096);
    ~witness_table();

    /// Records an intent. Repeating it is accepted again, also with another endpoint, which then replaces the former one.
    intent_result recordIntent(const ticket& value, const request_id& request, const endpoint_id& endpoint);
    /// Decides a ticket whose home is gone; an unused ticket is closed for good before the answer.
    witness_answer queryAndClose(const ticket& value);
    std::size_t size() const;
    /// Home incarnations remembered.
    std::size_t homeCount() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
