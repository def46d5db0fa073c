#include "ticket/witness_table.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/container_hash/hash.hpp>
#include <deque>
#include <unordered_map>

namespace carawaylink {
namespace {

struct process_hash {
    std::size_t operator()(const process_identity& process) const noexcept
    {
        std::size_t seed = std::hash<node_id> {}(process.node);
        boost::hash_combine(seed, process.run.value);
        return seed;
    }
};

/// Identifies a ticket by the number of its home's record. The numbers are never reused.
struct entry_key {
    std::uint64_t home = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const entry_key&, const entry_key&) = default;
};

struct entry_key_hash {
    std::size_t operator()(const entry_key& key) const noexcept
    {
        std::size_t seed = 0;
        boost::hash_combine(seed, key.home);
        boost::hash_combine(seed, key.sequence);
        return seed;
    }
};

struct entry {
    bool closed = false;
    request_id request;
    endpoint_id endpoint;
};

struct home_record {
    std::uint64_t number = 0;
    /// Tickets with a sequence up to this one and no entry are refused.
    std::uint64_t watermark = 0;
    std::uint64_t highestSequence = 0;
    std::uint64_t lastUse = 0;
};

/// The last ticket, ordered by (run, sequence), for which an evicted home incarnation may have had an entry.
struct evicted_watermark {
    std::uint64_t run = 0;
    std::uint64_t sequence = 0;

    friend bool operator<(const evicted_watermark& a, const evicted_watermark& b)
    {
        return std::pair(a.run, a.sequence) < std::pair(b.run, b.sequence);
    }
};

// Nodes with the same hash share a watermark, which only refuses more tickets. 1,024 watermarks take 16 KB for any number of evicted
// incarnations.
constexpr std::size_t evictedWatermarkCount = 1024;

} // namespace

struct witness_table::implementation {
    process_identity self;
    std::size_t capacity;
    std::size_t maxHomes;
    std::uint64_t useCounter = 0;
    std::uint64_t lastHomeNumber = 0;
    std::unordered_map<process_identity, home_record, process_hash> homes;
    std::unordered_map<entry_key, entry, entry_key_hash> entries;
    std::unordered_map<std::uint64_t, home_record*> homesByNumber;
    // Keys of the entries, oldest first.
    std::deque<entry_key> insertionOrder;
    std::array<evicted_watermark, evictedWatermarkCount> evictedWatermarks {};

    evicted_watermark& evictedWatermarkOf(const node_id& node)
    {
        return evictedWatermarks[std::hash<node_id> {}(node) % evictedWatermarks.size()];
    }

    /// Returns the record of the ticket's home and creates it if absent. Returns null if the ticket may have had an entry of an
    /// evicted incarnation.
    home_record* findOrCreateHome(const ticket& value)
    {
        if (const auto found = homes.find(value.home); found != homes.end()) {
            found->second.lastUse = ++useCounter;
            return &found->second;
        }
        const auto evicted = evictedWatermarkOf(value.home.node);
        if (!(evicted < evicted_watermark { value.home.run.value, value.sequence }))
            return nullptr;
        if (homes.size() >= maxHomes)
            evictLeastRecentlyUsedHome();
        home_record record;
        record.number = ++lastHomeNumber;
        record.watermark = evicted.run == value.home.run.value ? evicted.sequence : 0;
        record.highestSequence = record.watermark;
        record.lastUse = ++useCounter;
        auto& stored = homes.emplace(value.home, record).first->second;
        homesByNumber.emplace(stored.number, &stored);
        return &stored;
    }

    void evictLeastRecentlyUsedHome()
    {
        const auto oldest = std::ranges::min_element(homes, {}, [](const auto& item) { return item.second.lastUse; });
        auto& evicted = evictedWatermarkOf(oldest->first.node);
        evicted = std::max(evicted, { oldest->first.run.value, oldest->second.highestSequence });
        // The entries of the home are no longer found, because their keys hold the number of its record; they are evicted later as
        // the oldest.
        homesByNumber.erase(oldest->second.number);
        homes.erase(oldest);
    }

    void insert(const ticket& value, home_record& home, entry item)
    {
        if (entries.size() >= capacity) {
            const auto key = insertionOrder.front();
            if (const auto found = homesByNumber.find(key.home); found != homesByNumber.end())
                found->second->watermark = std::max(found->second->watermark, key.sequence);
            entries.erase(key);
            insertionOrder.pop_front();
        }
        const entry_key key { home.number, value.sequence };
        home.highestSequence = std::max(home.highestSequence, value.sequence);
        entries.emplace(key, std::move(item));
        insertionOrder.push_back(key);
    }
};

witness_table::witness_table(process_identity self, std::size_t capacity, std::size_t maxHomes)
    : m_implementation(std::make_unique<implementation>())
{
    if (capacity == 0 || maxHomes == 0)
        throw error(error_kind::invalid_argument, "witness table capacity is 0", "set it to at least 1 entry and 1 home");
    m_implementation->self = std::move(self);
    m_implementation->capacity = capacity;
    m_implementation->maxHomes = maxHomes;
}

witness_table::~witness_table() = default;

intent_result witness_table::recordIntent(const ticket& value, const request_id& request, const endpoint_id& endpoint)
{
    auto& table = *m_implementation;
    if (value.witness != table.self)
        return intent_result::foreign;
    auto* home = table.findOrCreateHome(value);
    if (!home)
        return intent_result::forgotten;
    const auto found = table.entries.find({ home->number, value.sequence });
    if (found != table.entries.end()) {
        auto& item = found->second;
        if (item.closed)
            return intent_result::closed;
        if (item.request != request)
            return intent_result::conflict;
        // The home may choose another endpoint before it dispatches.
        item.endpoint = endpoint;
        return intent_result::accepted;
    }
    if (value.sequence <= home->watermark)
        return intent_result::forgotten;
    table.insert(value, *home, { false, request, endpoint });
    return intent_result::accepted;
}

witness_answer witness_table::queryAndClose(const ticket& value)
{
    auto& table = *m_implementation;
    if (value.witness != table.self)
        return {};
    auto* home = table.findOrCreateHome(value);
    if (!home)
        return {};
    const auto found = table.entries.find({ home->number, value.sequence });
    if (found != table.entries.end()) {
        const auto& item = found->second;
        return { item.closed ? witness_state::closed : witness_state::intent, item.request, item.endpoint };
    }
    if (value.sequence <= home->watermark)
        return {};
    table.insert(value, *home, { true, {}, {} });
    return { witness_state::closed, {}, {} };
}

std::size_t witness_table::size() const
{
    return m_implementation->entries.size();
}

std::size_t witness_table::homeCount() const
{
    return m_implementation->homes.size();
}

} // namespace carawaylink
