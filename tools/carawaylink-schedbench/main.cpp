// Measures events per second and memory of one pool scheduler for growing sizes.

#include "base/random.h"
#include "scheduling/pool_scheduler.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace carawaylink;
using namespace std::chrono_literals;

namespace {

struct bench_shape {
    std::size_t endpoints = 64;
    std::size_t slots = 16;
    std::size_t waiting = 2000;
    std::size_t teams = 100;
    std::size_t blocks = 16;
    /// Time from submission to the deadline; an event advances the clock by 1 ms.
    std::chrono::seconds deadline = 3600s;
};

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// One pool under full load on a simulated clock: every slot is taken and a fixed number of requests wait.
class pool_load {
public:
    pool_load(const bench_shape& shape, std::uint64_t seed)
        : m_shape(shape)
        , m_random(seed)
        , m_pool({ .maxWaiting = 1000000 })
    {
        std::vector<team_share> teams;
        for (std::size_t i = 0; i < shape.teams; ++i)
            teams.push_back({ team_id("team-" + std::to_string(i)), 1.0 + static_cast<double>(i % 4), 1000000 });
        m_pool.setTeams(teams);
        const auto before = heapBytes();
        std::vector<endpoint_description> endpoints;
        for (std::size_t i = 0; i < shape.endpoints; ++i)
            endpoints.push_back({ endpoint_id("10.0.0." + std::to_string(i) + ":9000"), "g" + std::to_string(i % 3), failure_domain("a"),
                shape.slots, tokens(cacheTokens) });
        apply(m_pool.setEndpoints(m_now, endpoints));
        m_endpointBytes = heapBytes() - before;
    }

    void fill()
    {
        while (m_pool.status(m_now).running < m_shape.endpoints * m_shape.slots)
            submit();
        const auto before = heapBytes();
        while (m_pool.status(m_now).waiting < m_shape.waiting)
            submit();
        m_waitingBytes = heapBytes() - before;
    }

    /// One event is a release, the grant that follows and the submission that replaces it.
    void step()
    {
        m_now += 1ms;
        for (const auto& preempted : std::exchange(m_preempted, {})) {
            if (std::erase(m_running, preempted) > 0)
                apply(m_pool.release(m_now, { .request = preempted, .outcome = release_outcome::cancelled }));
        }
        const auto position = std::uniform_int_distribution<std::size_t>(0, m_running.size() - 1)(m_random);
        const auto finished = m_running[position];
        m_running[position] = m_running.back();
        m_running.pop_back();
        const auto ttft = std::chrono::milliseconds(50 + static_cast<int>(m_random() % 50));
        apply(m_pool.release(m_now,
            { finished, release_outcome::completed, tokens(promptTokens()), tokens(0), tokens(100), ttft,
                ttft + std::chrono::seconds(1) }));
        // Refusals are replaced, so that the queue keeps its length.
        for (int i = 0; i < 4 && (i == 0 || m_pool.status(m_now).waiting < m_shape.waiting); ++i)
            submit();
        if (++m_steps % 50 == 0)
            apply(m_pool.tick(m_now));
    }

    std::size_t waiting() const { return m_pool.status(m_now).waiting; }
    std::size_t endpointBytes() const { return m_endpointBytes; }
    std::size_t waitingBytes() const { return m_waitingBytes; }
    std::size_t refusals() const { return m_refusals; }
    std::uint64_t inversions() const { return m_pool.status(m_now).inversions; }

private:
    static constexpr std::int64_t cacheTokens = 200000;

    std::int64_t promptTokens() const { return static_cast<std::int64_t>(m_shape.blocks) * 64 + 10; }

    void submit()
    {
        scheduling_request request;
        request.id = { 1, ++m_sequence };
        request.home = node_id("10.0.1.1:7000");
        const auto team = m_random() % m_shape.teams;
        request.team = team_id("team-" + std::to_string(team));
        request.level = tier(static_cast<std::uint8_t>(m_random() % 4));
        request.promptTokens = tokens(promptTokens());
        request.maxOutputTokens = tokens(100 + static_cast<std::int64_t>(m_random() % 200));
        request.arrival = m_now;
        request.deadline = m_now + m_shape.deadline + std::chrono::milliseconds(m_random() % 1000);
        // Half of the prompt is shared by the requests of a team.
        for (std::size_t i = 0; i < m_shape.blocks; ++i)
            request.prefixBlocks.push_back(i < m_shape.blocks / 2 ? (team << 32) + i : m_random());
        apply(m_pool.submit(m_now, std::move(request)));
    }

    void apply(const std::vector<scheduling_action>& actions)
    {
        for (const auto& action : actions) {
            if (const auto* grant = std::get_if<slot_grant>(&action))
                m_running.push_back(grant->request);
            else if (const auto* preemption = std::get_if<slot_preemption>(&action))
                m_preempted.push_back(preemption->request);
            else
                ++m_refusals;
        }
    }

    bench_shape m_shape;
    random_source m_random;
    pool_scheduler m_pool;
    monotonic_time m_now { 1h };
    std::vector<request_id> m_running;
    std::vector<request_id> m_preempted;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_steps = 0;
    std::size_t m_refusals = 0;
    std::size_t m_endpointBytes = 0;
    std::size_t m_waitingBytes = 0;
};

void measure(const bench_shape& shape, std::size_t events, std::uint64_t seed)
{
    pool_load load(shape, seed);
    load.fill();
    // Fills the prefix index and the cost model before the measurement.
    for (std::size_t i = 0; i < events / 10; ++i)
        load.step();
    std::vector<float> latencies;
    latencies.reserve(events);
    const auto start = std::chrono::steady_clock::now();
    auto last = start;
    for (std::size_t i = 0; i < events; ++i) {
        load.step();
        const auto now = std::chrono::steady_clock::now();
        latencies.push_back(std::chrono::duration<float, std::micro>(now - last).count());
        last = now;
    }
    const double seconds = std::chrono::duration<double>(last - start).count();
    const auto p99 = latencies.begin() + static_cast<std::ptrdiff_t>(events * 99 / 100);
    std::ranges::nth_element(latencies, p99);
    std::cout << "schedbench endpoints=" << shape.endpoints << " slots_per_endpoint=" << shape.slots << " waiting=" << load.waiting()
              << " teams=" << shape.teams << " prompt_blocks=" << shape.blocks << " deadline_s=" << shape.deadline.count()
              << " events_per_s=" << static_cast<std::uint64_t>(static_cast<double>(events) / seconds) << " event_p99_us=" << *p99
              << " bytes_per_waiting_request=" << (shape.waiting ? load.waitingBytes() / shape.waiting : 0)
              << " bytes_per_idle_endpoint=" << load.endpointBytes() / shape.endpoints << " refusals=" << load.refusals()
              << " inversions=" << load.inversions() << std::endl;
}

/// Heap bytes per prompt block that an endpoint is believed to hold.
void measureIndex(std::size_t endpointCount, std::size_t blocks)
{
    pool_scheduler pool { pool_scheduler_settings {} };
    std::vector<endpoint_description> endpoints;
    for (std::size_t i = 0; i < endpointCount; ++i)
        endpoints.push_back({ endpoint_id("e" + std::to_string(i)), "g", failure_domain("a"), 16, tokens(1 << 30) });
    pool.setEndpoints(monotonic_time { 1h }, endpoints);
    random_source random(1);
    const auto before = heapBytes();
    for (const auto& endpoint : endpoints) {
        for (std::size_t i = 0; i < blocks; ++i) {
            const cache_event event { endpoint.id, random(), true };
            pool.observe(std::span(&event, 1));
        }
    }
    std::cout << "schedbench_index endpoints=" << endpointCount << " blocks_per_endpoint=" << blocks
              << " bytes_per_block=" << (heapBytes() - before) / (endpointCount * blocks) << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures the pool scheduler: events per second and bytes per waiting request and endpoint.");
    std::size_t events = 100000;
    std::uint64_t seed = 1;
    bench_shape largest;
    app.add_option("--events", events, "release, grant and submission cycles per size")->check(CLI::Range(1000, 100000000));
    app.add_option("--seed", seed, "seed of the load");
    app.add_option("--teams", largest.teams, "number of teams")->check(CLI::Range(1, 100000));
    app.add_option("--slots", largest.slots, "slots per endpoint")->check(CLI::Range(1, 4096));
    app.add_option("--blocks", largest.blocks, "prefix blocks per prompt")->check(CLI::Range(0, 256));
    CLI11_PARSE(app, argc, argv);
    for (const std::size_t endpoints : { 1, 4, 16, 64 }) {
        auto shape = largest;
        shape.endpoints = endpoints;
        measure(shape, events, seed);
    }
    for (const std::size_t waiting : { 20, 200, 8000, 32000 }) {
        auto shape = largest;
        shape.waiting = waiting;
        measure(shape, events, seed);
    }
    for (const std::size_t blocks : { 0, 64, 256 }) {
        auto shape = largest;
        shape.blocks = blocks;
        measure(shape, events, seed);
    }
    for (const auto deadline : { 2s, 3s, 5s }) {
        auto shape = largest;
        shape.deadline = deadline;
        measure(shape, events, seed);
    }
    for (const std::size_t blocks : { 1000, 4000, 16000 })
        measureIndex(64, blocks);
}
