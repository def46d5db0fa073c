#pragma once

#include "membership/failure_detector.h"

#include <map>
#include <vector>

namespace carawaylink {

/// Addresses from the settings or the list of vms that are not known as members. Each is tried at doubling intervals up to
/// seedRetryLimit, and dropped when it was not named again for dropAfter.
class seed_list {
public:
    void add(monotonic_time now, const std::vector<node_id>& seeds, const node_id& self);
    /// Called when the address is known as a member.
    void remove(const node_id& node) { m_seeds.erase(node); }
    /// At most count addresses to be tried now, chosen at random; counts as a try of each.
    std::vector<node_id> takeDue(monotonic_time now, std::size_t count, duration firstRetry, random_source& random);
    void dropStale(monotonic_time now, duration dropAfter);
    bool empty() const { return m_seeds.empty(); }

private:
    struct seed {
        monotonic_time nextTry;
        monotonic_time named;
        unsigned tries = 0;
    };
    std::map<node_id, seed> m_seeds;
};

} // namespace carawaylink
