#include "ticket/home_table.h"

#include "base/error.h"

#include <boost/intrusive/list.hpp>
#include <unordered_map>

namespace carawaylink {
namespace {

namespace intrusive = boost::intrusive;

struct entry : intrusive::list_base_hook<> {
    std::uint64_t sequence = 0;
    ticket_state state = ticket_state::open;
    monotonic_time expires;
    request_id holder;
};

using entry_list = intrusive::list<entry>;

} // namespace

struct home_table::implementation {
    process_identity self;
    std::size_t capacity;
    duration lifetime;
    std::uint64_t lastSequence = 0;
    std::unordered_map<std::uint64_t, entry> entries;
    // Every entry is in exactly one of the three lists, so each list has at most capacity elements.
    entry_list open; // in order of issue, which is the order of expiry
    entry_list active; // claimed, intent_sent, dispatched
    entry_list finished; // answered, closed; in order of completion

    entry* find(const ticket& value)
    {
        if (value.home != self)
            return nullptr;
        const auto found = entries.find(value.sequence);
        return found == entries.end() ? nullptr : &found->second;
    }

    void move(entry& item, ticket_state state, entry_list& from, entry_list& to)
    {
        item.state = state;
        from.erase(from.iterator_to(item));
        to.push_back(item);
    }

    /// Closes an entry that was not dispatched. Returns true if the entry is now closed.
    bool close(entry& item)
    {
        switch (item.state) {
        case ticket_state::open:
            move(item, ticket_state::closed, open, finished);
            return true;
        case ticket_state::claimed:
        case ticket_state::intent_sent:
            move(item, ticket_state::closed, active, finished);
            return true;
        case ticket_state::closed:
            return true;
        case ticket_state::dispatched:
        case ticket_state::answered:
            break;
        }
        return false;
    }

    void evictFront(entry_list& list)
    {
        const auto sequence = list.front().sequence;
        list.pop_front();
        entries.erase(sequence);
    }

    /// Makes room for one entry. Evicts only entries that can no longer be dispatched. Expired unclaimed tickets go first, because
    /// a caller that retries needs the entries of finished tickets.
    bool makeRoom(monotonic_time now)
    {
        if (entries.size() < capacity)
            return true;
        if (!open.empty() && open.front().expires < now)
            evictFront(open);
        else if (!finished.empty())
            evictFront(finished);
        else
            return false;
        return true;
    }
};

home_table::home_table(process_identity self, std::size_t capacity, duration lifetime)
    : m_implementation(std::make_unique<implementation>())
{
    if (capacity == 0)
        throw error(error_kind::invalid_argument, "home table capacity is 0", "set it to at least 1");
    if (lifetime <= duration::zero())
        throw error(error_kind::invalid_argument, "ticket lifetime is not positive", "set it to at least 1 s");
    m_implementation->self = std::move(self);
    m_implementation->capacity = capacity;
    m_implementation->lifetime = lifetime;
}

home_table::~home_table()
{
    m_implementation->open.clear();
    m_implementation->active.clear();
    m_implementation->finished.clear();
}

std::optional<ticket> home_table::issue(monotonic_time now, const process_identity& witness)
{
    auto& table = *m_implementation;
    if (!table.makeRoom(now))
        return std::nullopt;
    const auto sequence = ++table.lastSequence;
    auto& item = table.entries[sequence];
    item.sequence = sequence;
    item.expires = now + table.lifetime;
    table.open.push_back(item);
    return ticket { table.self, witness, sequence };
}

claim home_table::claimTicket(monotonic_time now, const ticket& value, const request_id& request)
{
    auto& table = *m_implementation;
    if (value.home != table.self)
        return { claim_result::foreign, {} };
    auto* item = table.find(value);
    // Sequence numbers are never reused, so the entry of a ticket that was issued has been evicted.
    if (!item)
        return { claim_result::unknown, {} };
    switch (item->state) {
    case ticket_state::open:
        if (now > item->expires) {
            table.close(*item);
            return { claim_result::closed, {} };
        }
        table.move(*item, ticket_state::claimed, table.open, table.active);
        item->holder = request;
        return { claim_result::granted, request };
    case ticket_state::closed:
        return { claim_result::closed, {} };
    case ticket_state::claimed:
    case ticket_state::intent_sent:
    case ticket_state::dispatched:
    case ticket_state::answered:
        break;
    }
    return { claim_result::attach, item->holder };
}

void home_table::markIntentSent(const ticket& value)
{
    auto* item = m_implementation->find(value);
    if (item && item->state == ticket_state::claimed)
        item->state = ticket_state::intent_sent;
}

bool home_table::beginDispatch(monotonic_time now, const ticket& value, monotonic_time deadline)
{
    auto* item = m_implementation->find(value);
    if (!item)
        return false;
    const auto requiredState = value.witness.node.value.empty() ? ticket_state::claimed : ticket_state::intent_sent;
    if (item->state != requiredState || now > deadline) {
        m_implementation->close(*item);
        return false;
    }
    item->state = ticket_state::dispatched;
    return true;
}

bool home_table::close(const ticket& value)
{
    auto* item = m_implementation->find(value);
    return item && m_implementation->close(*item);
}

void home_table::markAnswered(const ticket& value)
{
    auto* item = m_implementation->find(value);
    if (item && item->state == ticket_state::dispatched)
        m_implementation->move(*item, ticket_state::answered, m_implementation->active, m_implementation->finished);
}

std::optional<ticket_state> home_table::state(const ticket& value) const
{
    const auto* item = m_implementation->find(value);
    return item ? std::optional(item->state) : std::nullopt;
}

std::size_t home_table::size() const
{
    return m_implementation->entries.size();
}

} // namespace carawaylink
