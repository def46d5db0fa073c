#pragma once

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace carawaylink {

/// Tracks which endpoints of a pool are believed to have which prompt blocks cached. Each endpoint has a bounded LRU list; a shared table
/// maps each block to a bit mask of endpoints, so that one look-up of a prompt covers the whole pool.
class prefix_index {
public:
    static constexpr std::size_t maxEndpoints = 64;
    using lengths = std::array<std::uint16_t, maxEndpoints>;

    /// Sets the cache capacity of the endpoint at this position, in blocks.
    void setCapacity(std::size_t endpoint, std::size_t blocks);
    void clear(std::size_t endpoint);
    /// Marks the blocks of a prompt as cached, with the leading ones as the most recently used.
    void insert(std::size_t endpoint, std::span<const std::uint64_t> blocks);
    void erase(std::size_t endpoint, std::uint64_t block);
    /// Number of leading blocks of the prompt that each endpoint has cached. Hashes are chained and engines evict from the end, so the
    /// last block present implies all blocks before it, even if their events were lost.
    lengths match(std::span<const std::uint64_t> blocks) const;
    bool holds(std::size_t endpoint, std::uint64_t block) const;
    std::size_t size(std::size_t endpoint) const;

private:
    static constexpr std::uint32_t none = ~0U;

    struct node {
        std::uint64_t block = 0;
        std::uint32_t previous = none;
        std::uint32_t next = none;
    };

    struct cache {
        std::size_t capacity = 0;
        std::uint32_t newest = none;
        std::uint32_t oldest = none;
        std::vector<node> nodes;
        std::vector<std::uint32_t> unused;
        boost::unordered_flat_map<std::uint64_t, std::uint32_t> positions;
    };

    void touch(std::size_t endpoint, std::uint64_t block);
    static void unlink(cache& endpointCache, std::uint32_t position);
    static void linkNewest(cache& endpointCache, std::uint32_t position);
    void remove(std::size_t endpoint, std::uint32_t position);

    std::array<cache, maxEndpoints> m_caches;
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> m_holders;
};

} // namespace carawaylink
