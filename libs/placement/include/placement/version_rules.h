#pragma once

#include "base/enum_table.h"
#include "discovery/endpoint_table.h"
#include "placement/endpoint_health.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace carawaylink::placement {

/// Which versions of a service's endpoints may be granted while an order of a roll-out applies.
enum class version_use {
    old_only,
    both,
    target_only,
};

inline constexpr auto versionUseNames = enumTable<version_use>({
    { version_use::old_only, "old_only" },
    { version_use::both, "both" },
    { version_use::target_only, "target_only" },
});

/// Orders the rules on a service: those on a later order, and on one order the final ones, replace the others.
struct rules_stamp {
    /// Number of the order; 0 without one.
    std::uint64_t order = 0;
    bool isFinal = false;
    /// Number of the deciding owner among those that decided on this order, and of the decision among its own.
    std::uint64_t term = 0;
    std::uint32_t sequence = 0;

    friend auto operator<=>(const rules_stamp&, const rules_stamp&) = default;
};

/// What a node must know to decline a grant of a version that must not be used.
struct version_rules {
    rules_stamp stamp;
    /// Version that the order names.
    std::string target;
    version_use use = version_use::old_only;
    /// Other versions that must not be used: targets of earlier orders that were not completed, and all old ones once this one is.
    std::vector<std::string> retired;
    /// Versions without an order that were not there before.
    std::vector<std::string> held;

    bool hasOrder() const { return stamp.order != 0; }
    bool isInProgress() const { return hasOrder() && !stamp.isFinal; }
    /// Whether a node may use a grant of the version.
    bool allows(const std::string& version) const
    {
        if (std::ranges::find(held, version) != held.end())
            return false;
        if (!hasOrder())
            return true;
        return version == target ? use != version_use::old_only : std::ranges::find(retired, version) == retired.end();
    }

    friend bool operator==(const version_rules&, const version_rules&) = default;
};

/// How an owner divides the grants of its pool between the versions while both are used.
struct version_split {
    /// Share of the grants that go to the target.
    double share = 0;
    /// Number of grants of the target since the first rules of this term.
    std::uint64_t maxTargetGrants = std::numeric_limits<std::uint64_t>::max();
    /// Endpoints of the target that may be granted; empty for all.
    std::vector<discovery::replica_id> canaries;

    bool mayGrant(const discovery::replica_id& endpoint) const
    {
        return canaries.empty() || std::ranges::find(canaries, endpoint) != canaries.end();
    }

    friend bool operator==(const version_split&, const version_split&) = default;
};

/// What an owner sees of a request while an order is in progress.
enum class version_event {
    sent,
    /// Part of the response arrived.
    first_event,
    /// Further events arrived; the time is the mean interval between them.
    interval,
    ended,
};

struct version_observation {
    version_event event = version_event::sent;
    std::uint64_t id = 0;
    /// Hash of the route's name; 0 if unknown.
    std::uint64_t route = 0;
    discovery::replica_id replica;
    bool isTarget = false;
    duration time {};
    outcome result = outcome::completed;
    /// The endpoint has just started and is still slow.
    bool isCold = false;
};

/// Notices versions of a service that appear and that no order names. They are held back for a while, since their order may be read later
/// than the entries of their endpoints.
class version_history {
public:
    /// Returns the versions that are held back now. target: version of an order; empty without one.
    std::vector<std::string> update(const std::vector<discovery::endpoint_record>& records, const std::string& target, monotonic_time now);
    /// Whether a version may cease to be held back with time.
    bool isHolding() const { return m_isHolding; }

private:
    void add(const std::vector<discovery::endpoint_record>& records, monotonic_time now);

    /// Versions seen, and until when each is held back.
    std::map<std::string, monotonic_time> m_heldUntil;
    bool m_isHolding = false;
};

} // namespace carawaylink::placement
