#pragma once

#include "base/enum_table.h"
#include "ticket/ticket.h"

#include <cstddef>
#include <memory>

namespace carawaylink {

enum class intent_result {
    accepted,
    /// An earlier query closed the ticket.
    closed,
    /// The ticket is at or below the watermark of its home and has no entry.
    forgotten,
    /// The ticket names another witness.
    foreign,
    /// Another request recorded an intent with the same ticket, which a correct home never does.
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
    /// No intent was recorded and none will be: the request was not executed.
    closed,
    /// An intent was recorded: the endpoint may execute or have executed the request.
    intent,
    /// The entry was evicted, or this process is not the ticket's witness.
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

/// Intents and closed tickets that one process witnesses for other homes. Memory is bounded: the oldest entries are evicted and
/// the watermark of their home is raised past them. The number of home incarnations is bounded too: the least recently used one
/// is evicted with its entries. Intents of tickets that it may have used are then refused as "forgotten" and queries answered
/// "unknown"; its later tickets are accepted again. Not thread-safe; does no I/O and reads no clock.
class witness_table {
public:
    /// capacity: maximum number of entries; an entry is kept for capacity / (intents per second) seconds, which should exceed the
    /// lifetime of tickets. maxHomes: maximum number of home incarnations; should be several times the number of nodes.
    witness_table(process_identity self, std::size_t capacity, std::size_t maxHomes = 4096);
    ~witness_table();

    /// Records an intent. A repeated intent is accepted; its endpoint replaces the previous one.
    intent_result recordIntent(const ticket& value, const request_id& request, const endpoint_id& endpoint);
    /// Returns the state of a ticket whose home has failed. A ticket without an entry is first closed permanently.
    witness_answer queryAndClose(const ticket& value);
    std::size_t size() const;
    /// Number of home incarnations with a record.
    std::size_t homeCount() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawaylink
