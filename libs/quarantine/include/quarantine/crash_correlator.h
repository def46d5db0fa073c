#pragma once

#include "quarantine/quarantine_list.h"

#include <deque>
#include <map>
#include <vector>

namespace carawaylink::quarantine {

/// An endpoint that ended.
struct endpoint_crash {
    service_hash service;
    replica_hash replica;
    /// Shared prompt parts of the requests that it had not begun to answer; of each request in order.
    std::vector<part_hash> parts;
    /// The requests that it had not answered completely.
    std::vector<part_hash> requests {};
};

struct suspected_part {
    service_hash service;
    part_hash part;
};

struct quarantine_decision {
    quarantine_entry entry;
    service_hash service;
    /// Separate moments at which endpoints ended with the part, and at which any endpoint of the service ended.
    unsigned crashes = 0;
    unsigned allCrashes = 0;
    /// Time since the first of these crashes.
    duration elapsed {};
};

/// Finds the requests and prompt parts that crash endpoints, from the crashes and answers that all nodes report. A request counts as a part
/// of its own, which explains crashes that no shared part does. A part is suspected once it stands in
/// crashes at two separate moments without an answer since the first, and quarantined by the third; of a request that was never answered
/// each crash counts. Crashes that a quarantined part
/// explains no longer count against others. Does no I/O and reads no clock.
class crash_correlator {
public:
    /// Crashes with a part in force are explained by it and not counted.
    void addCrash(const endpoint_crash& crash, monotonic_time endedAt, const quarantine_list& known, monotonic_time now);
    /// An endpoint began to answer a request with the part.
    void addAnswer(const suspected_part& part, monotonic_time answeredAt);

    /// The part is quarantined: it explains the crashes with it, which no longer count against others.
    void explainCrashes(part_hash part);
    /// Asks for the answers on all suspected parts again, because reports of them may be outstanding.
    void suspectAnew();
    /// Parts about whose answers the nodes have to be asked now; each once until an answer is reported.
    std::vector<suspected_part> takeSuspects(const quarantine_list& known, monotonic_time now);
    /// Decides which parts to quarantine, and adds them to the list.
    std::vector<quarantine_decision> takeDecisions(quarantine_list& known, monotonic_time now);

private:
    struct crash_record {
        replica_hash replica;
        monotonic_time time;
        std::vector<part_hash> parts;
    };
    struct part_state {
        std::optional<monotonic_time> lastAnswer;
        std::optional<monotonic_time> suspectedAt;
        /// Position in the prompt, from 1; 0 for a request.
        std::size_t depth = 0;

        /// Time between crashes that count as separate.
        duration separation() const;
    };
    struct service_state {
        std::deque<crash_record> crashes;
        std::map<part_hash, part_state> parts;
        bool hasChanged = false;
    };
    /// Crashes at separate moments, added in order of time.
    struct crash_count {
        unsigned count = 0;
        monotonic_time first {};
        monotonic_time last {};

        void add(monotonic_time time, duration separation);
    };
    struct candidate {
        part_hash part;
        crash_count crashes;
        monotonic_time lastAnswer;
        std::size_t depth = 0;

        bool isLikelierThan(const candidate& other) const;
    };

    static void addPart(service_state& service, crash_record& record, part_hash part, std::size_t depth);
    static void expire(service_state& service, monotonic_time now);
    /// Crashes since the last answer, by part.
    static std::map<part_hash, crash_count> countCrashes(const service_state& service);
    static unsigned crashesSince(const service_state& service, monotonic_time since);
    static std::optional<candidate> findCause(const service_state& service, const quarantine_list& known, monotonic_time now);
    static void suspectAnew(service_state& service);
    static void removeExplained(service_state& service, part_hash part);

    std::map<service_hash, service_state> m_services;
};

} // namespace carawaylink::quarantine
