#pragma once

#include "rollout/decider.h"

#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace carawaylink::rollout {

using namespace std::chrono_literals;

/// What makes a version bad.
struct simulated_fault {
    double failureShare = 0;
    double slowness = 1;
    duration from {};
    duration until = std::chrono::hours(1);
    /// Only on this route; 0 for all.
    route_hash route = 0;
    /// Only while an endpoint runs at least this many requests.
    std::size_t minRunning = 0;
};

struct simulated_load {
    std::size_t oldEndpoints = 12;
    std::size_t targetEndpoints = 12;
    double requestsPerSecond = 400;
    /// Factor between the fastest and the slowest endpoint of a version.
    double speeds = 1;
    std::size_t routes = 4;
    double meanMs = 100;
    /// Time after the order in which the endpoints of the target are slow by this factor, and say so.
    duration coldTime {};
    double coldness = 4;
};

/// A service with one pool whose owner is a decider, on virtual time. Requests go round the endpoints that the plan allows.
class simulated_service {
public:
    simulated_service(const simulated_load& load, const simulated_fault& fault, unsigned seed)
        : m_load(load)
        , m_fault(fault)
        , m_random(seed)
    {
        given.service = service_id { "s" };
        given.number = 1;
        given.target = "v2";
        given.time = 12s;
        restartOwner();
    }

    /// A new owner continues from the written record, without the evidence since then.
    void restartOwner()
    {
        m_collector = {};
        m_freshStarts = 0;
        owner = std::make_unique<decider>(given, bound, "owner" + std::to_string(++m_owners), orderedAt, written, now);
    }

    void run(duration span)
    {
        for (const auto end = now + span; now < end; now += 5ms)
            tick();
    }

    bool isFinal() const { return written && rollout::isFinal(written->stage); }
    stage finalStage() const { return written->stage; }
    double allowedExposure() const { return bound.share * static_cast<double>(requests) + bound.slack; }

    exposure_bound bound;
    order given;
    monotonic_time now { 1000s };
    const monotonic_time orderedAt { 1000s };
    std::unique_ptr<decider> owner;
    std::optional<status> written;
    bool isStoreAway = false;
    std::size_t targetListed = 0;
    std::size_t oldListed = 0;
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    std::uint64_t targetBad = 0;
    /// Requests sent to the target later than 5 s after its 50th bad answer, and after the final record.
    std::uint64_t lateTargetRequests = 0;
    std::uint64_t targetRequestsAfterRevert = 0;
    monotonic_time finalAt {};
    /// Whether the process of the target's endpoints accepts connections.
    bool isTargetUp = true;

private:
    struct running_request {
        monotonic_time ends;
        std::uint64_t id = 0;
        bool isTarget = false;
        std::size_t endpoint = 0;
        bool isBad = false;
        duration time {};
        bool operator>(const running_request& other) const { return ends > other.ends; }
    };

    void tick()
    {
        while (!m_running.empty() && m_running.top().ends <= now) {
            end(m_running.top());
            m_running.pop();
        }
        if ((now - orderedAt) % 100ms == 0ms)
            decide();
        m_due += m_load.requestsPerSecond * 0.005;
        for (; m_due >= 1; m_due -= 1)
            send();
    }

    void decide()
    {
        fleet_view view;
        view.targetEndpoints = view.testedTargetEndpoints = targetListed;
        view.oldEndpoints = view.testedOldEndpoints = oldListed;
        view.requests = m_collector.requests();
        view.targetRequests = m_collector.targetRequests();
        view.runningOld = m_runningOld;
        view.oldVersions = { "v1" };
        view.total = m_collector.total(now);
        view.recent = m_collector.recent(now);
        if (std::exchange(m_freshStarts, owner->freshStarts()) < owner->freshStarts())
            m_collector.startFresh();
        view.fresh = m_collector.fresh(now);
        owner->step(view, now);
        const auto record = owner->recordToWrite(now);
        if (!record || isStoreAway)
            return;
        if (!isFinal() && rollout::isFinal(record->stage))
            finalAt = now;
        written = record;
        owner->confirm(*record, now);
    }

    void send()
    {
        ++requests;
        const auto plan = owner->plan(now);
        const auto route = 1 + m_random() % m_load.routes;
        const bool mayUseTarget
            = plan.usesTarget && targetListed > 0 && m_collector.targetRequests() < plan.maxTargetRequests.value_or(~0ULL);
        m_credit = std::min(m_credit + plan.share, 2.0);
        const bool isTarget = mayUseTarget && (!plan.usesOld || m_credit >= 1);
        if (!isTarget && (oldListed == 0 || !plan.usesOld))
            return;
        if (isTarget)
            m_credit -= 1;
        const auto used = isTarget ? (plan.canaries > 0 ? plan.canaries : targetListed) : oldListed;
        const auto endpoint = m_random() % used;
        start(route, endpoint, isTarget);
    }

    void start(route_hash route, std::size_t endpoint, bool isTarget)
    {
        const auto name = (isTarget ? "new" : "old") + std::to_string(endpoint);
        const auto count = isTarget ? m_load.targetEndpoints : m_load.oldEndpoints;
        // Endpoints of both versions have the same spread of speeds, in another order.
        const double place
            = static_cast<double>((endpoint * 5 + (isTarget ? 3 : 0)) % count) / std::max<double>(1, static_cast<double>(count - 1));
        double ms = m_load.meanMs * std::pow(m_load.speeds, place) * std::lognormal_distribution(0.0, 0.5)(m_random);
        auto& running = m_runningAt[name];
        const bool isFaulty = isTarget && now - orderedAt >= m_fault.from && now - orderedAt < m_fault.until
            && (m_fault.route == 0 || m_fault.route == route) && running >= m_fault.minRunning;
        const bool isBad = isFaulty && std::uniform_real_distribution()(m_random) < m_fault.failureShare;
        if (isFaulty)
            ms *= m_fault.slowness;
        const bool isCold = isTarget && now - orderedAt < m_load.coldTime;
        if (isCold)
            ms *= m_load.coldness;
        if (isTarget) {
            ++targetRequests;
            lateTargetRequests += m_fiftiethAt && now > *m_fiftiethAt + 5s ? 1 : 0;
            targetRequestsAfterRevert += isFinal() && finalStage() == stage::reverted ? 1 : 0;
        }
        const auto id = ++m_nextId;
        m_collector.sent(id, route, name, isTarget, now, isCold);
        if (isTarget && !isTargetUp) {
            m_collector.ended(id, request_end::neutral, now);
            return;
        }
        ++running;
        m_runningOld += isTarget ? 0 : 1;
        const auto time = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
        const bool isBadAnswer = isBad || (isFaulty && m_fault.slowness > 1);
        m_running.push({ now + time, id, isTarget, endpoint, isBad, time });
        if (isBadAnswer && isTarget && ++targetBad == 50)
            m_fiftiethAt = now + time;
    }

    void end(const running_request& request)
    {
        --m_runningAt[(request.isTarget ? "new" : "old") + std::to_string(request.endpoint)];
        m_runningOld -= request.isTarget ? 0 : 1;
        if (!request.isBad)
            m_collector.firstEvent(request.id, request.time);
        m_collector.ended(request.id, request.isBad ? request_end::bad : request_end::good, now);
    }

    simulated_load m_load;
    simulated_fault m_fault;
    std::mt19937 m_random;
    evidence_collector m_collector;
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
    std::map<std::string, std::size_t> m_runningAt;
    std::size_t m_runningOld = 0;
    std::uint64_t m_nextId = 0;
    unsigned m_owners = 0;
    unsigned m_freshStarts = 0;
    double m_due = 0;
    double m_credit = 0;
    std::optional<monotonic_time> m_fiftiethAt;
};

} // namespace carawaylink::rollout
