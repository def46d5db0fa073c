#pragma once

#include "membership/failure_detector.h"

#include <map>
#include <vector>

namespace carawaylink {

/// Addresses from the settings or the list of vms that are not yet known as members. Each is retried at doubling intervals up to
/// maxSeedRetryInterval and dropped if it was not listed again for dropAfter.
class seed_list {
public:
    void add(monotonic_time now, const std::vector<node_id>& seeds, const node_id& self);
    /// Called when the address has become a member.
    void remove(const node_id& node) { m_seeds.erase(node); }
    /// Returns at most count due addresses, chosen at random, and counts an attempt for each.
    std::vector<node_id> takeDue(monotonic_time now, std::size_t count, duration firstRetry, random_source& random);
    void dropStale(monotonic_time now, duration dropAfter);
    bool empty() const { return m_seeds.empty(); }

private:
    struct seed {
        monotonic_time nextTry;
        monotonic_time lastListed;
        unsigned tries = 0;
    };
    std::map<node_id, seed> m_seeds;
};

} // namespace carawaylink
