#pragma once

#include "quarantine/prompt_part.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace carawaylink::gateway {

/// The requests of this node that ask for a probe of prompt parts, or are one. A request with several parts on probation asks for one part
/// after the other. Does no I/O and reads no clock.
class probe_requests {
public:
    using parts = std::vector<quarantine::part_hash>;
    using part_message = std::function<void(quarantine::part_hash)>;
    using decision_handler = std::function<void(std::uint64_t request, bool isGranted)>;

    /// ask: asks the node in charge of a part. end: tells it that a granted probe has ended without an answer. Either may lead to a call of
    /// this object before it returns.
    probe_requests(part_message ask, part_message end);

    /// Called once for each request that asks, maybe before ask() returns.
    void setOnDecided(decision_handler handler) { m_onDecided = std::move(handler); }
    /// Returns false, without a decision, if the request must be refused now: another one probes or asks, or was refused less than an
    /// interval ago.
    bool ask(std::uint64_t request, parts probed, duration interval, monotonic_time now);
    void grant(quarantine::part_hash part);
    void refuse(quarantine::part_hash part, duration interval, monotonic_time now);
    /// Refuses the requests whose question has stayed without a reply.
    void tick(duration interval, monotonic_time now);
    /// The request has ended without an answer.
    void end(std::uint64_t request);
    /// An endpoint began to answer the request; returns the parts that it probed.
    parts takeAnswered(std::uint64_t request);

private:
    struct probe {
        parts probed;
        /// Number of parts that are granted, from the first one.
        std::size_t granted = 0;
        monotonic_time replyUntil;

        bool isAsking() const { return granted < probed.size(); }
    };
    using probe_map = std::map<std::uint64_t, probe>;

    probe_map::iterator findAsking(quarantine::part_hash part);
    void refuse(probe_map::iterator refused, duration interval, monotonic_time now);

    part_message m_ask;
    part_message m_end;
    decision_handler m_onDecided = [](std::uint64_t, bool) {};
    probe_map m_probes;
    std::map<quarantine::part_hash, monotonic_time> m_nextAskAt;
};

} // namespace carawaylink::gateway
