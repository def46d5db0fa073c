#pragma once

#include "placement/prompt_parts.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaylink::placement {

/// The prompt parts that one endpoint is believed to hold, derived from the requests that it has answered. Bounded by the memory of the
/// endpoint and by a number of entries; the least recently used parts are dropped first, and the later parts of a prompt before the
/// earlier ones.
class prefix_belief {
public:
    static constexpr std::size_t maxEntries = 1024;

    /// Length of the beginning of the prompt that is held: parts up to the first one that is not.
    tokens kept(std::span<const prompt_part> parts) const;
    /// A request uses the parts now; those that are not held stay so.
    void use(std::span<const prompt_part> parts);
    /// The endpoint has prefilled the parts. capacity: memory for parts, in tokens.
    void add(std::span<const prompt_part> parts, tokens capacity);
    /// Drops parts until the others fit.
    void limitTo(tokens capacity);
    std::size_t size() const { return m_entries.size() - m_free.size(); }
    tokens length() const { return m_length; }
    /// Heap memory.
    std::size_t bytes() const;

private:
    using index = std::uint16_t;
    static constexpr index none = 0xffff;
    static constexpr std::size_t bucketCount = maxEntries;
    struct entry {
        std::uint64_t prefix = 0;
        std::uint32_t length = 0;
        index newer = none;
        index older = none;
        /// Next entry of the same bucket.
        index next = none;
    };

    index find(std::uint64_t prefix) const;
    void insert(const prompt_part& part);
    void makeNewest(index position);
    void linkNewest(index position);
    void unlink(index position);
    void removeOldest();

    std::vector<entry> m_entries;
    std::vector<index> m_free;
    std::vector<index> m_buckets;
    index m_newest = none;
    index m_oldest = none;
    tokens m_length { 0 };
};

/// Compares the measured times to the first event at one endpoint with the predictions with and without reuse.
class reuse_check {
public:
    /// Weight of the belief in predictions, 0 to 1; 0 if it is often wrong.
    double weight() const;
    /// Returns whether the time shows reuse; nullopt if it does not tell.
    std::optional<bool> record(duration measured, duration withReuse, duration withoutReuse);

private:
    double m_average = 1;
};

} // namespace carawaylink::placement
