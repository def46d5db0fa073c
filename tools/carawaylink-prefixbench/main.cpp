// Measures placement by prompt parts on simulated engines: share of the prefill that could be saved, waits, decision time and memory.

#include "base/time.h"
#include "placement/recent_prompts.h"
#include "placement/service_pool.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace carawaylink;
using namespace carawaylink::placement;
using namespace std::chrono_literals;

namespace {

struct bench_shape {
    std::size_t endpoints = 64;
    std::size_t sessions = 2000;
    std::size_t sharedPrompts = 60;
    unsigned slots = 6;
    std::int64_t memory = 526'415;
    /// Of an engine of usual speed.
    double promptTokensPerMs = 85;
    double stepMs = 2.8;
    double baseMs = 10;
    /// Share of the work that all slots can do.
    double load = 0.7;
    double seconds = 60;
    /// Relative to the usual one, repeated over the engines.
    std::vector<double> speeds { 1, 0.55, 1, 2.8 };
    std::uint64_t seed = 1;
    bool knowsParts = true;
    /// Nodes that take requests and tell a new owner which prompts were answered last.
    std::size_t nodes = 16;
    /// The owner of the pool changes after half of the time.
    bool changesOwner = false;
    bool listsAnswered = true;
};

constexpr std::int64_t maxPromptTokens = 7000;
constexpr std::int64_t meanOutputTokens = 100;
// Typical prompt with half of it cached; sets the rate of arrivals.
constexpr double typicalPrefilledTokens = 2000;
// Measured times vary by this much.
constexpr double timeVariation = 0.1;

duration fromMs(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

struct session_state {
    std::vector<named_part> parts;
    std::size_t shared = 0;
    bool isBusy = false;
};

/// An engine with one prompt in prefill at a time, whose memory is that of the placement's account but kept by what really happens.
struct engine {
    double speed = 1;
    monotonic_time prefillFrom {};
    std::int64_t running = 0;
    unsigned requests = 0;
    prefix_belief cached;
};

enum class step { arrival, prefill, first_event, end };

struct event {
    monotonic_time time;
    step what = step::arrival;
    std::uint64_t request = 0;

    bool operator<(const event& other) const { return time > other.time; }
};

struct running_prompt {
    waiting_request request;
    std::size_t node = 0;
    bool hasFirstEvent = false;
    std::optional<grant> granted;
    std::size_t session = 0;
    std::size_t engine = 0;
};

struct bench_result {
    std::int64_t promptTokens = 0;
    /// Share of the possible reuse in each second.
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> savedOfPossible;
    std::int64_t possible = 0;
    /// The same, of endpoints with a free slot.
    std::int64_t reachable = 0;
    std::int64_t saved = 0;
    std::vector<double> waitsMs;
    std::vector<double> firstEventsMs;
    std::vector<double> totalsMs;
    std::size_t refused = 0;
    std::chrono::nanoseconds deciding {};
    std::size_t bytes = 0;
    reuse_totals reuse;
};

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, position);
    return *position;
}

class prefix_bench {
public:
    explicit prefix_bench(const bench_shape& shape)
        : m_shape(shape)
        , m_random(shape.seed)
        , m_pool(shape.seed)
        , m_sessions(shape.sessions)
        , m_recent(shape.nodes)
    {
        for (std::size_t i = 0; i < shape.endpoints; ++i) {
            const replica_id id { "e" + std::to_string(i) };
            m_records.push_back({ id, service_id { "s" }, endpoint_id { id.value }, failure_domain { "a" }, shape.slots, false, 1 });
            m_engineById[id] = i;
            m_engines.push_back({ shape.speeds[i % shape.speeds.size()] });
        }
        m_pool.setLimits({ tokens { shape.memory }, 1 });
        m_pool.setEndpoints(m_records, m_now);
        std::vector<double> weights;
        for (std::size_t i = 0; i < std::max(shape.sessions, shape.sharedPrompts); ++i)
            weights.push_back(1 / std::pow(static_cast<double>(i) + 10, 0.9));
        m_sessionChoice = { weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(shape.sessions) };
        m_sharedChoice = { weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(shape.sharedPrompts) };
        for (std::size_t i = 0; i < shape.sharedPrompts; ++i)
            m_sharedLengths.push_back(uniform(300, 4000));
    }

    bench_result run()
    {
        double speed = 0;
        for (const auto& entry : m_engines)
            speed += entry.speed;
        const double requestMs = m_shape.baseMs + typicalPrefilledTokens / m_shape.promptTokensPerMs + m_shape.stepMs * meanOutputTokens;
        m_arrivalsPerMs = m_shape.load * m_shape.slots * speed / requestMs;
        const auto end = m_now + fromMs(1000 * m_shape.seconds);
        auto ownerChange = m_now + fromMs(500 * m_shape.seconds);
        m_start = m_now;
        m_events.push({ m_now, step::arrival });
        while (!m_events.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.time;
            if (m_shape.changesOwner && m_now >= ownerChange) {
                changeOwner();
                ownerChange = monotonic_time::max();
            }
            if (next.what != step::arrival)
                proceed(next);
            else if (m_now < end)
                arrive();
            decide();
        }
        m_result.bytes = m_pool.prefixBytes();
        m_result.reuse = m_pool.reuse();
        return std::move(m_result);
    }

private:
    std::int64_t uniform(std::int64_t from, std::int64_t to) { return std::uniform_int_distribution(from, to)(m_random); }
    double variation() { return std::uniform_real_distribution(1 - timeVariation, 1 + timeVariation)(m_random); }

    static std::int64_t lengthOf(const std::vector<named_part>& parts)
    {
        std::int64_t total = 0;
        for (const auto& part : parts)
            total += part.length.value;
        return total;
    }

    // Speeds, running requests and the prompts answered last are what the nodes tell a new owner.
    void changeOwner()
    {
        service_pool next(m_shape.seed + 1);
        next.setLimits({ tokens { m_shape.memory }, 1 });
        next.setEndpoints(m_records, m_now);
        for (const auto& [replica, speed] : m_pool.speeds())
            next.setReportedSpeed(replica, speed);
        for (const auto& node : m_recent) {
            for (const auto& prompt : node.all())
                next.recordAnswered(prompt.replica, prompt.startedAtMs, prompt.parts);
        }
        for (const auto& [id, prompt] : m_running) {
            if (!prompt.granted)
                next.submit(prompt.request);
            else
                next.adopt({ id, {}, prompt.granted->replica, prompt.request.prompt, prompt.request.output,
                               prompt.granted->expectedFirstEvent, prompt.hasFirstEvent, prompt.granted->kept, prompt.request.promptParts },
                    m_now);
        }
        m_pool = std::move(next);
    }

    void arrive()
    {
        m_events.push({ m_now + fromMs(std::exponential_distribution(m_arrivalsPerMs)(m_random)), step::arrival });
        auto index = m_sessionChoice(m_random);
        // A session sends its next prompt after the answer to the one before; another one sends instead.
        for (std::size_t i = 0; i < m_sessions.size() && m_sessions[index].isBusy; ++i)
            index = (index + 1) % m_sessions.size();
        auto& session = m_sessions[index];
        if (session.isBusy)
            return;
        if (session.parts.empty() || lengthOf(session.parts) > maxPromptTokens - 600) {
            session.shared = m_sharedChoice(m_random);
            session.parts = { { "shared" + std::to_string(session.shared), tokens { m_sharedLengths[session.shared] } } };
        }
        session.parts.push_back({ std::to_string(m_lastId + 1), tokens { uniform(100, 600) } });
        session.isBusy = true;
        waiting_request request;
        request.id = ++m_lastId;
        request.prompt = tokens { lengthOf(session.parts) };
        request.output = tokens { uniform(meanOutputTokens / 2, 3 * meanOutputTokens / 2) };
        request.arrived = m_now;
        request.target = m_now + 1s;
        request.deadline = m_now + 15s;
        request.promptParts = significantParts(session.parts);
        m_running.emplace(request.id, running_prompt { request, request.id % m_recent.size(), false, std::nullopt, index });
        if (!m_shape.knowsParts)
            request.promptParts.clear();
        const auto start = std::chrono::steady_clock::now();
        m_pool.submit(std::move(request));
        m_result.deciding += std::chrono::steady_clock::now() - start;
    }

    void decide()
    {
        const auto start = std::chrono::steady_clock::now();
        const auto decisions = m_pool.decide(m_now);
        m_result.deciding += std::chrono::steady_clock::now() - start;
        for (const auto& granted : decisions.grants)
            begin(granted);
        for (const auto& refused : decisions.refusals) {
            ++m_result.refused;
            m_sessions[m_running.at(refused.id).session].isBusy = false;
            m_running.erase(refused.id);
        }
    }

    void begin(const grant& granted)
    {
        auto& prompt = m_running.at(granted.id);
        prompt.engine = m_engineById.at(granted.replica);
        prompt.granted = granted;
        auto& used = m_engines[prompt.engine];
        std::int64_t possible = 0;
        std::int64_t reachable = 0;
        for (const auto& entry : m_engines) {
            const auto kept = entry.cached.kept(prompt.request.promptParts).value;
            possible = std::max(possible, kept);
            if (entry.requests < m_shape.slots)
                reachable = std::max(reachable, kept);
        }
        ++used.requests;
        m_result.reachable += reachable;
        used.running += prompt.request.prompt.value + prompt.request.output.value;
        used.cached.limitTo(capacity(used));
        m_result.possible += possible;
        m_result.savedOfPossible[second()].second += possible;
        m_result.promptTokens += prompt.request.prompt.value;
        m_result.waitsMs.push_back(inMilliseconds(m_now - prompt.request.arrived));
        // The time of the prefill before it is not known yet, so it looks again when its turn comes.
        m_events.push({ std::max(m_now, used.prefillFrom), step::prefill, granted.id });
    }

    std::int64_t second() const { return std::chrono::floor<std::chrono::seconds>(m_now - m_start).count(); }

    tokens capacity(const engine& used) const { return tokens { std::max<std::int64_t>(m_shape.memory - used.running, 0) }; }

    void proceed(const event& next)
    {
        auto& prompt = m_running.at(next.request);
        auto& used = m_engines[prompt.engine];
        const auto& request = prompt.request;
        switch (next.what) {
        case step::prefill: {
            if (used.prefillFrom > m_now) {
                m_events.push({ used.prefillFrom, step::prefill, next.request });
                return;
            }
            const auto kept = used.cached.kept(request.promptParts);
            m_result.saved += kept.value;
            m_result.savedOfPossible[second()].first += kept.value;
            used.cached.use(request.promptParts);
            const auto work = static_cast<double>(m_cost.work(request.prompt).value - m_cost.work(kept).value);
            used.prefillFrom = m_now + fromMs(variation() * work / m_shape.promptTokensPerMs / used.speed);
            m_events.push({ used.prefillFrom + fromMs(variation() * m_shape.baseMs / used.speed), step::first_event, next.request });
            return;
        }
        case step::first_event:
            m_result.firstEventsMs.push_back(inMilliseconds(m_now - request.arrived));
            used.cached.add(request.promptParts, capacity(used));
            prompt.hasFirstEvent = true;
            if (m_shape.listsAnswered)
                m_recent[prompt.node].add({ prompt.granted->replica, 1, request.promptParts });
            m_pool.recordProgress(next.request, 1, m_now);
            m_events.push({ m_now + fromMs(variation() * m_shape.stepMs * static_cast<double>(request.output.value) / used.speed),
                step::end, next.request });
            return;
        case step::end:
            m_result.totalsMs.push_back(inMilliseconds(m_now - request.arrived));
            --used.requests;
            used.running -= request.prompt.value + request.output.value;
            used.cached.add(request.promptParts, capacity(used));
            m_pool.recordOutcome(next.request, outcome::completed, static_cast<std::size_t>(request.output.value), m_now);
            m_sessions[prompt.session].isBusy = false;
            m_running.erase(next.request);
            return;
        case step::arrival:
            return;
        }
    }

    bench_shape m_shape;
    std::mt19937_64 m_random;
    service_pool m_pool;
    prefill_cost_model m_cost;
    std::vector<session_state> m_sessions;
    std::vector<engine> m_engines;
    std::map<replica_id, std::size_t> m_engineById;
    std::discrete_distribution<std::size_t> m_sessionChoice;
    std::discrete_distribution<std::size_t> m_sharedChoice;
    std::vector<std::int64_t> m_sharedLengths;
    std::priority_queue<event> m_events;
    std::map<std::uint64_t, running_prompt> m_running;
    std::vector<discovery::endpoint_record> m_records;
    std::vector<recent_prompts> m_recent;
    double m_arrivalsPerMs = 0;
    monotonic_time m_start {};
    std::uint64_t m_lastId = 0;
    monotonic_time m_now { 1h };
    bench_result m_result;
};

void measure(const bench_shape& shape)
{
    auto result = prefix_bench(shape).run();
    const auto share
        = [](std::int64_t part, std::int64_t whole) { return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole); };
    const auto requests = std::max<std::size_t>(result.waitsMs.size(), 1);
    std::cout << "prefixbench knows_parts=" << shape.knowsParts << " endpoints=" << shape.endpoints << " sessions=" << shape.sessions
              << " load=" << shape.load << " seed=" << shape.seed << " requests=" << requests << " refused=" << result.refused
              << " prompt_tokens=" << result.promptTokens << " possible_share=" << share(result.possible, result.promptTokens)
              << " saved_of_possible=" << share(result.saved, result.possible)
              << " saved_of_reachable=" << share(result.saved, result.reachable) << " wait_p99_ms=" << percentile(result.waitsMs, 0.99)
              << " first_event_p50_ms=" << percentile(result.firstEventsMs, 0.5)
              << " first_event_p99_ms=" << percentile(result.firstEventsMs, 0.99) << " total_p50_ms=" << percentile(result.totalsMs, 0.5)
              << " total_p99_ms=" << percentile(result.totalsMs, 0.99)
              << " decision_us=" << static_cast<double>(result.deciding.count()) / 1000 / static_cast<double>(requests)
              << " bytes_per_endpoint=" << result.bytes / shape.endpoints
              << " found_of_predicted=" << share(result.reuse.found, result.reuse.predicted) << std::endl;
}

/// Seconds of reuse that a change of the owner costs, compared with the time before it.
void measureOwnerChange(const bench_shape& shape)
{
    auto result = prefix_bench(shape).run();
    const auto change = static_cast<std::int64_t>(shape.seconds / 2);
    const auto shareIn = [&](std::int64_t from, std::int64_t to) {
        std::pair<double, double> sum;
        for (auto i = from; i < to; ++i) {
            sum.first += static_cast<double>(result.savedOfPossible[i].first);
            sum.second += static_cast<double>(result.savedOfPossible[i].second);
        }
        return sum.second > 0 ? sum.first / sum.second : 0;
    };
    const double before = shareIn(change / 2, change);
    double lostSeconds = 0;
    for (auto i = change; i < 2 * change; ++i)
        lostSeconds += 1 - shareIn(i, i + 1) / before;
    std::cout << "prefixbench_owner_change lists_answered=" << shape.listsAnswered << " nodes=" << shape.nodes << " load=" << shape.load
              << " seed=" << shape.seed << " before=" << before << " first_second=" << shareIn(change, change + 1)
              << " second_second=" << shareIn(change + 1, change + 2) << " lost_s=" << lostSeconds << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures placement by prompt parts on simulated engines, with and without them.");
    bench_shape shape;
    std::vector<double> loads { 0.5, 0.7, 0.85 };
    app.add_option("--endpoints", shape.endpoints, "number of engines")->check(CLI::Range(1, 1024));
    app.add_option("--sessions", shape.sessions, "number of sessions")->check(CLI::Range(1, 1000000));
    app.add_option("--slots", shape.slots, "slots per engine")->check(CLI::Range(1, 4096));
    app.add_option("--memory", shape.memory, "memory of an engine in tokens")->check(CLI::Range(1, 1000000000));
    app.add_option("--rate", shape.promptTokensPerMs, "prompt tokens that an engine prefills per ms")->check(CLI::Range(1, 100000));
    app.add_option("--seconds", shape.seconds, "simulated time")->check(CLI::Range(1, 100000));
    app.add_option("--seed", shape.seed, "seed of the load");
    app.add_option("--nodes", shape.nodes, "nodes that take requests")->check(CLI::Range(1, 100000));
    app.add_flag("--owner-change", shape.changesOwner, "measure a change of the owner after half of the time instead");
    app.add_option("--speeds", shape.speeds, "speeds of the engines, repeated over them")->check(CLI::PositiveNumber);
    app.add_option("--load", loads, "shares of the work that all slots can do");
    CLI11_PARSE(app, argc, argv);
    for (const auto load : loads) {
        shape.load = load;
        if (shape.changesOwner) {
            for (const bool listsAnswered : { false, true }) {
                shape.listsAnswered = listsAnswered;
                measureOwnerChange(shape);
            }
            continue;
        }
        for (const bool knowsParts : { false, true }) {
            shape.knowsParts = knowsParts;
            measure(shape);
        }
    }
}
