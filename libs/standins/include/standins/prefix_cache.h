#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace carawaylink {

/// KV memory of an engine in blocks: blocks in use by running sequences and, in the rest, cached prompt blocks that are
/// evicted least recently used first.
class prefix_cache {
public:
    /// Called for each block that enters or leaves the cache.
    using change_handler = std::function<void(std::uint64_t hash, bool stored)>;

    prefix_cache(std::size_t capacityBlocks, change_handler onChange);

    /// Number of leading blocks that are cached.
    std::size_t match(std::span<const std::uint64_t> hashes) const;
    /// Takes the cached leading blocks and room for other blocks; returns false and changes nothing where it does not fit.
    bool acquire(std::span<const std::uint64_t> cachedHashes, std::size_t otherBlocks);
    /// Turns one block of acquired room into a cached block that is in use.
    void store(std::uint64_t hash);
    /// Ends the use of blocks that acquire() or store() returned in use, and of acquired room.
    void release(std::span<const std::uint64_t> usedHashes, std::size_t otherBlocks);
    /// Caches a block that is not in use; returns false where all memory is in use.
    bool import(std::uint64_t hash);

    bool contains(std::uint64_t hash) const { return m_blocks.contains(hash); }
    std::size_t capacity() const { return m_capacity; }
    /// Blocks in use by sequences.
    std::size_t used() const { return m_room + m_blocks.size() - m_idle.size(); }
    std::size_t cached() const { return m_blocks.size(); }

private:
    struct block {
        std::size_t users = 0;
        std::list<std::uint64_t>::iterator idlePosition;
    };

    void makeRoom(std::size_t blocks);
    void addUser(std::uint64_t hash);

    std::size_t m_capacity;
    change_handler m_onChange;
    /// Blocks acquired without a hash.
    std::size_t m_room = 0;
    std::unordered_map<std::uint64_t, block> m_blocks;
    /// Cached blocks without a user, least recently used first.
    std::list<std::uint64_t> m_idle;
};

} // namespace carawaylink
