#pragma once

#include "placement/service_pool.h"

#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace carawaylink::placement {

using namespace std::chrono_literals;

/// Load of three classes on the pool of 32 endpoints whose speeds differ by 5 to 1, on virtual time. Callers that are refused return once,
/// after the time told but at most a third of the time left.
class overload_trial {
public:
    struct class_result {
        unsigned asked = 0;
        unsigned answered = 0;
        unsigned inTime = 0;
        unsigned refusedAgain = 0;
        double share() const { return static_cast<double>(answered) / asked; }
    };
    /// Offered load as a multiple of the capacity, from one time of the trial to another.
    struct burst {
        duration from {};
        duration until {};
        double load = 2;
    };

    explicit overload_trial(burst given, double usualLoad = 0.6)
        : m_burst(given)
        , m_usualLoad(usualLoad)
    {
        std::vector<discovery::endpoint_record> records;
        for (std::size_t i = 0; i < endpoints; ++i) {
            const replica_id id { "engine-" + std::to_string(i) };
            records.push_back({ id, service_id { "engine" }, endpoint_id { id.value + ":80" }, failure_domain { "a" }, slots, false, 1 });
        }
        m_pool.setLimits({ tokens { 400000 }, tokensPerEvent });
        m_pool.setEndpoints(records, m_now);
        for (std::size_t i = 0; i < endpoints; ++i) {
            m_slowness[records[i].id] = std::pow(5.0, static_cast<double>(i) / (endpoints - 1));
            m_pool.setReportedSpeed(records[i].id, { baseMs * m_slowness[records[i].id], 0.01, eventMs * m_slowness[records[i].id], 20 });
        }
    }

    void run(duration length)
    {
        for (const auto start = m_now; m_now < start + length; m_now += 5ms) {
            const auto elapsed = m_now - start;
            const bool isBurst = elapsed >= m_burst.from && elapsed < m_burst.until;
            addArrivals(isBurst ? m_burst.load : m_usualLoad);
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto due = m_events.extract(m_events.begin()).mapped();
                due.step == step::comesBack ? ask(due.level, due.deadline, true, due.fingerprint) : progress(due);
            }
            decide();
            if (elapsed < m_burst.from)
                m_usualQueue = std::max(m_usualQueue, m_pool.waitingCount());
            else if (elapsed >= m_burst.until && m_pool.waitingCount() > m_usualQueue)
                recovery = elapsed - m_burst.until;
        }
    }

    unsigned answered() const { return results[0].answered + results[1].answered + results[2].answered; }
    unsigned asked() const { return results[0].asked + results[1].asked + results[2].asked; }
    unsigned inTime() const { return results[0].inTime + results[1].inTime + results[2].inTime; }
    unsigned refusedAgain() const { return results[0].refusedAgain + results[1].refusedAgain + results[2].refusedAgain; }
    double share() const { return static_cast<double>(answered()) / asked(); }
    service_pool& pool() { return m_pool; }

    std::array<class_result, 3> results;
    /// Time from the end of the burst until the queue was no longer than before it.
    duration recovery {};

private:
    using milliseconds = std::chrono::duration<double, std::milli>;
    struct request_class {
        double share = 0;
        std::int64_t output = 0;
        duration target {};
        duration timeLeft {};
    };
    struct call {
        std::uint8_t level = 0;
        bool isReturn = false;
        monotonic_time target;
        monotonic_time deadline;
        std::uint64_t fingerprint = 0;
        double slowness = 1;
    };
    enum class step { comesBack, begins, ends };
    struct event : call {
        std::uint64_t id = 0;
        overload_trial::step step = step::begins;
        bool isInTime = false;
    };

    static constexpr std::size_t endpoints = 32;
    static constexpr unsigned slots = 4;
    static constexpr unsigned tokensPerEvent = 9;
    static constexpr double baseMs = 40;
    static constexpr double eventMs = 20;
    // Classes, costs of 1.3, 0.9 and 0.11 s of a slot and shares as on the heaviest day of a deployment.
    static constexpr std::array<request_class, 3> classes { {
        { 0.256, 260, 600ms, 8s },
        { 0.334, 175, 800ms, 8s },
        { 0.41, 0, 500ms, 4s },
    } };
    // Requests per second that the 128 slots serve at the mean of these costs.
    static constexpr double capacity = 185;

    void addArrivals(double load)
    {
        for (std::uint8_t level = 0; level < classes.size(); ++level) {
            auto& due = m_due[level];
            // Arrivals of unlike spacing that are the same in each run.
            for (due += load * capacity * classes[level].share * 0.005; due > 0;
                 due -= 0.5 + static_cast<double>(m_random() % 1000) / 1000) {
                ++results[level].asked;
                ask(level, m_now + classes[level].timeLeft, false, m_nextId);
            }
        }
    }

    void ask(std::uint8_t level, monotonic_time deadline, bool isReturn, std::uint64_t fingerprint)
    {
        waiting_request request;
        request.id = m_nextId++;
        request.teamTier = tier { level };
        request.prompt = tokens { 300 };
        request.output = tokens { classes[level].output };
        request.arrived = m_now;
        request.target = m_now + classes[level].target;
        request.deadline = deadline;
        m_waiting[request.id] = { level, isReturn, request.target, deadline, fingerprint };
        m_pool.submit(std::move(request));
    }

    void decide()
    {
        const auto decisions = m_pool.decide(m_now);
        for (const auto& granted : decisions.grants) {
            auto started = m_waiting.extract(granted.id).mapped();
            started.slowness = m_slowness.at(granted.replica);
            m_events.emplace(m_now + after(baseMs * started.slowness + 3), event { { started }, granted.id, step::begins });
        }
        for (const auto& refused : decisions.refusals) {
            auto caller = m_waiting.extract(refused.id).mapped();
            results[caller.level].refusedAgain += caller.isReturn;
            if (std::exchange(caller.isReturn, true))
                continue;
            const auto wait = std::min<duration>(refused.retryAfter, (caller.deadline - m_now) / 3);
            m_events.emplace(m_now + wait, event { { caller }, refused.id, step::comesBack });
        }
    }

    void progress(event due)
    {
        const auto events = static_cast<std::size_t>(classes[due.level].output / tokensPerEvent);
        if (std::exchange(due.step, step::ends) == step::begins) {
            m_pool.recordProgress(due.id, 1, m_now);
            due.isInTime = m_now <= due.target;
            m_events.emplace(m_now + after(eventMs * due.slowness * static_cast<double>(events)), due);
            return;
        }
        results[due.level].answered += m_now <= due.deadline;
        results[due.level].inTime += due.isInTime;
        m_pool.recordOutcome(due.id, outcome::completed, events + 1, m_now);
    }

    static duration after(double ms) { return std::chrono::duration_cast<duration>(milliseconds(ms)); }

    burst m_burst;
    double m_usualLoad;
    service_pool m_pool { 1 };
    monotonic_time m_now { 100s };
    random_source m_random { 7 };
    std::map<replica_id, double> m_slowness;
    std::array<double, 3> m_due {};
    std::map<std::uint64_t, call> m_waiting;
    std::multimap<monotonic_time, event> m_events;
    std::uint64_t m_nextId = 1;
    std::size_t m_usualQueue = 0;
};

} // namespace carawaylink::placement
