#include "standins/prefix_cache.h"

#include <algorithm>

namespace carawaylink {

prefix_cache::prefix_cache(std::size_t capacityBlocks, change_handler onChange)
    : m_capacity(capacityBlocks)
    , m_onChange(std::move(onChange))
{
}

std::size_t prefix_cache::match(std::span<const std::uint64_t> hashes) const
{
    const auto missing = std::ranges::find_if_not(hashes, [this](auto hash) { return m_blocks.contains(hash); });
    return static_cast<std::size_t>(missing - hashes.begin());
}

bool prefix_cache::acquire(std::span<const std::uint64_t> cachedHashes, std::size_t otherBlocks)
{
    const auto idleHits
        = static_cast<std::size_t>(std::ranges::count_if(cachedHashes, [this](auto hash) { return m_blocks.at(hash).users == 0; }));
    if (used() + idleHits + otherBlocks > m_capacity)
        return false;
    // The hits are taken first, so that making room does not evict them.
    std::ranges::for_each(cachedHashes, [this](auto hash) { addUser(hash); });
    makeRoom(otherBlocks);
    m_room += otherBlocks;
    return true;
}

void prefix_cache::store(std::uint64_t hash)
{
    --m_room;
    const auto [position, isNew] = m_blocks.try_emplace(hash);
    if (!isNew) {
        addUser(hash);
        return;
    }
    position->second.users = 1;
    m_onChange(hash, true);
}

void prefix_cache::release(std::span<const std::uint64_t> usedHashes, std::size_t otherBlocks)
{
    m_room -= otherBlocks;
    // The end of a prompt is shared by fewer prompts than its start, so it becomes the older of the idle blocks.
    std::for_each(usedHashes.rbegin(), usedHashes.rend(), [this](auto hash) {
        auto& entry = m_blocks.at(hash);
        if (--entry.users == 0)
            entry.idlePosition = m_idle.insert(m_idle.end(), hash);
    });
}

bool prefix_cache::import(std::uint64_t hash)
{
    if (const auto found = m_blocks.find(hash); found != m_blocks.end()) {
        if (found->second.users == 0)
            m_idle.splice(m_idle.end(), m_idle, found->second.idlePosition);
        return true;
    }
    if (used() + 1 > m_capacity)
        return false;
    makeRoom(1);
    m_blocks.emplace(hash, block { 0, m_idle.insert(m_idle.end(), hash) });
    m_onChange(hash, true);
    return true;
}

void prefix_cache::makeRoom(std::size_t blocks)
{
    while (m_room + m_blocks.size() + blocks > m_capacity && !m_idle.empty()) {
        const auto hash = m_idle.front();
        m_idle.pop_front();
        m_blocks.erase(hash);
        m_onChange(hash, false);
    }
}

void prefix_cache::addUser(std::uint64_t hash)
{
    auto& entry = m_blocks.at(hash);
    if (entry.users++ == 0)
        m_idle.erase(entry.idlePosition);
}

} // namespace carawaylink
