#include "seed_list.h"

#include <algorithm>
#include <iterator>

namespace carawaylink {
namespace {

// After 6 doublings of 500 ms, an address is tried every 30 s: an absent vm costs about one datagram per 30 s.
constexpr duration maxSeedRetryInterval = std::chrono::seconds(30);
constexpr unsigned maxDoublings = 6;

} // namespace

void seed_list::add(monotonic_time now, const std::vector<node_id>& seeds, const node_id& self)
{
    for (const auto& node : seeds) {
        if (node == self || node.value.empty())
            continue;
        auto& item = m_seeds.try_emplace(node, seed { now, now, 0 }).first->second;
        item.lastListed = now;
    }
}

std::vector<node_id> seed_list::takeDue(monotonic_time now, std::size_t count, duration firstRetry, random_source& random)
{
    std::vector<node_id> due;
    for (const auto& [node, item] : m_seeds) {
        if (item.nextTry <= now)
            due.push_back(node);
    }
    std::vector<node_id> chosen;
    std::ranges::sample(due, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random);
    for (const auto& node : chosen) {
        auto& item = m_seeds.at(node);
        const duration pause = std::min<duration>(firstRetry * (1 << std::min(item.tries, maxDoublings)), maxSeedRetryInterval);
        // The jitter prevents nodes that started together from trying the same address at the same time.
        item.nextTry = now + pause + duration(std::uniform_int_distribution<duration::rep>(0, pause.count() / 4)(random));
        ++item.tries;
    }
    return chosen;
}

void seed_list::dropStale(monotonic_time now, duration dropAfter)
{
    std::erase_if(m_seeds, [&](const auto& item) { return item.second.lastListed + dropAfter < now; });
}

} // namespace carawaylink
