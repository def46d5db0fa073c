#include "prefix_index.h"

#include <algorithm>
#include <bit>

namespace carawaylink {

namespace {

/// Longest run of blocks with lost cache events that does not end a match.
constexpr std::size_t maxLostEvents = 32;

} // namespace

void prefix_index::setCapacity(std::size_t endpoint, std::size_t blocks)
{
    auto& endpointCache = m_caches[endpoint];
    endpointCache.capacity = blocks;
    while (endpointCache.positions.size() > endpointCache.capacity)
        remove(endpoint, endpointCache.oldest);
}

void prefix_index::clear(std::size_t endpoint)
{
    const auto capacity = m_caches[endpoint].capacity;
    setCapacity(endpoint, 0);
    m_caches[endpoint] = {};
    m_caches[endpoint].capacity = capacity;
}

void prefix_index::insert(std::size_t endpoint, std::span<const std::uint64_t> blocks)
{
    std::for_each(blocks.rbegin(), blocks.rend(), [&](std::uint64_t block) { touch(endpoint, block); });
}

void prefix_index::erase(std::size_t endpoint, std::uint64_t block)
{
    const auto& positions = m_caches[endpoint].positions;
    if (const auto found = positions.find(block); found != positions.end())
        remove(endpoint, found->second);
}

prefix_index::lengths prefix_index::match(std::span<const std::uint64_t> blocks) const
{
    // The search ends at the first longer run of unknown blocks, so that a prompt cached nowhere costs only a few look-ups.
    std::vector<std::uint64_t> holders;
    holders.reserve(blocks.size());
    std::size_t known = 0;
    for (const auto block : blocks) {
        const auto found = m_holders.find(block);
        holders.push_back(found == m_holders.end() ? 0 : found->second);
        if (holders.back() != 0)
            known = holders.size();
        else if (holders.size() - known > maxLostEvents)
            break;
    }
    lengths result {};
    std::uint64_t seen = 0;
    for (std::size_t length = known; length > 0; --length) {
        for (auto added = holders[length - 1] & ~seen; added != 0; added &= added - 1)
            result[static_cast<std::size_t>(std::countr_zero(added))] = static_cast<std::uint16_t>(length);
        seen |= holders[length - 1];
    }
    return result;
}

bool prefix_index::holds(std::size_t endpoint, std::uint64_t block) const
{
    return m_caches[endpoint].positions.contains(block);
}

std::size_t prefix_index::size(std::size_t endpoint) const
{
    return m_caches[endpoint].positions.size();
}

void prefix_index::touch(std::size_t endpoint, std::uint64_t block)
{
    auto& endpointCache = m_caches[endpoint];
    if (endpointCache.capacity == 0)
        return;
    const auto [known, added] = endpointCache.positions.try_emplace(block, none);
    if (!added) {
        unlink(endpointCache, known->second);
        linkNewest(endpointCache, known->second);
        return;
    }
    std::uint32_t position = 0;
    if (endpointCache.unused.empty()) {
        position = static_cast<std::uint32_t>(endpointCache.nodes.size());
        endpointCache.nodes.emplace_back();
    } else {
        position = endpointCache.unused.back();
        endpointCache.unused.pop_back();
    }
    endpointCache.nodes[position].block = block;
    linkNewest(endpointCache, position);
    known->second = position;
    m_holders[block] |= std::uint64_t { 1 } << endpoint;
    if (endpointCache.positions.size() > endpointCache.capacity)
        remove(endpoint, endpointCache.oldest);
}

void prefix_index::unlink(cache& endpointCache, std::uint32_t position)
{
    const auto [block, previous, next] = endpointCache.nodes[position];
    (previous == none ? endpointCache.newest : endpointCache.nodes[previous].next) = next;
    (next == none ? endpointCache.oldest : endpointCache.nodes[next].previous) = previous;
}

void prefix_index::linkNewest(cache& endpointCache, std::uint32_t position)
{
    endpointCache.nodes[position].previous = none;
    endpointCache.nodes[position].next = endpointCache.newest;
    (endpointCache.newest == none ? endpointCache.oldest : endpointCache.nodes[endpointCache.newest].previous) = position;
    endpointCache.newest = position;
}

void prefix_index::remove(std::size_t endpoint, std::uint32_t position)
{
    auto& endpointCache = m_caches[endpoint];
    const auto block = endpointCache.nodes[position].block;
    unlink(endpointCache, position);
    endpointCache.positions.erase(block);
    endpointCache.unused.push_back(position);
    const auto holders = m_holders.find(block);
    holders->second &= ~(std::uint64_t { 1 } << endpoint);
    if (holders->second == 0)
        m_holders.erase(holders);
}

} // namespace carawaylink
