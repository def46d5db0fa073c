// A tenant sends more than its quota while its limit is lowered and raised again (argument "change"), or while all processes are killed
// and start again (argument "kill").

#include "stand.h"

#include <algorithm>
#include <numeric>

namespace {

using namespace review;

constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 4;
constexpr unsigned slots = 12;
constexpr std::size_t clients = 16;
constexpr auto workTime = milliseconds(20);
constexpr auto requestDeadline = milliseconds(3000);
constexpr auto pauseAfterRefusal = milliseconds(50);
constexpr auto sendingTime = milliseconds(9000);
constexpr auto disruptionAt = milliseconds(2500);
// The lower limit stays this long.
constexpr auto lowLimitTime = milliseconds(1000);
constexpr auto restartDelay = milliseconds(500);

// The tenant's limit, and the bounds of the deployment.
constexpr long ratePerSecond = 135209;
constexpr long burst = 135209;
constexpr long lowerBy = 10;
constexpr double windowSeconds = 8;
constexpr double overrun = 0.1;
constexpr double slack = 140000;
constexpr long promptTokens = 6500;
constexpr long outputTokens = 100;

const std::string key = "i9n73hh2b9wu3fexd9dn";

std::string configuration(unsigned version, long divisor)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"asks","host":"carawaylink.example","path_prefix":"/asks/","route_kind":"streaming","timeout_ms":15000,)"
          R"("target_latency_ms":1000,"priority":0,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,)"
          R"("gap_aim_ms":300}],"services":[{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,)"
          R"("engine":{"slots":12,"kv_capacity":410015,"kv_bytes":163840,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,)"
          R"("most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":[")"
        + key + R"("],"priority":1,"unit":"token","plain_tokens":200,"rate_per_s":)" + std::to_string(ratePerSecond / divisor)
        + R"(,"burst":)" + std::to_string(burst / divisor) + "}]}";
}

struct outcome_counts {
    std::mutex mutex;
    std::map<unsigned, unsigned> statuses;
    std::atomic<unsigned> number = 0;
};

// Sends one request after the other to the machines in turn.
void sendAll(fleet& nodes, std::size_t client, steady::time_point until, outcome_counts& counts)
{
    for (std::size_t i = client; steady::now() < until; ++i) {
        request sent { "/asks/plan", "ask-" + std::to_string(++counts.number), "POST", key, "", requestDeadline };
        sent.tokenCounts = std::to_string(promptTokens) + "," + std::to_string(outputTokens);
        const auto received = ask(nodes.frontend(i % machines), sent);
        {
            const std::lock_guard guard(counts.mutex);
            ++counts.statuses[received.status];
        }
        if (!received.isServed())
            pauseFor(pauseAfterRefusal);
    }
}

// Most tokens that began to run within one window.
double mostTokensInWindow(const std::vector<std::unique_ptr<replica>>& engines)
{
    std::vector<std::pair<double, long>> begun;
    for (const auto& engine : engines) {
        for (const auto& entry : engine->runs())
            begun.emplace_back(std::chrono::duration<double>(entry.began.time_since_epoch()).count(), entry.tokens);
    }
    std::ranges::sort(begun);
    double most = 0;
    double sum = 0;
    for (std::size_t first = 0, last = 0; last < begun.size(); ++last) {
        sum += static_cast<double>(begun[last].second);
        for (; begun[last].first - begun[first].first >= windowSeconds; ++first)
            sum -= static_cast<double>(begun[first].second);
        most = std::max(most, sum);
    }
    return most;
}

void changeLimit(store& platform)
{
    platform.put("keyed.op", "config", configuration(2, lowerBy));
    record::line("limit lowered to a tenth");
    pauseFor(lowLimitTime);
    platform.put("keyed.op", "config", configuration(3, 1));
    record::line("limit raised to what it was");
}

void killAll(fleet& nodes)
{
    for (std::size_t machine = 0; machine < machines; ++machine)
        nodes.kill(machine);
    record::line("all processes killed");
    pauseFor(restartDelay);
    for (std::size_t machine = 0; machine < machines; ++machine)
        nodes.start(machine);
}

verdict playCase(const std::string& kind)
{
    store platform;
    platform.put("keyed.op", "config", configuration(1, 1));
    std::vector<std::unique_ptr<replica>> engines;
    for (std::size_t i = 0; i < replicas; ++i)
        engines.push_back(
            std::make_unique<replica>(platform, "i-llm-" + std::to_string(i), "llm", "ncr-a", slots, streamEvents(2, workTime / 2)));
    fleet nodes(platform, { machines });
    nodes.startAll();
    pauseFor(milliseconds(3000));

    outcome_counts counts;
    const auto began = steady::now();
    std::vector<std::thread> threads;
    for (std::size_t client = 0; client < clients; ++client)
        threads.emplace_back([&, client] { sendAll(nodes, client, began + sendingTime, counts); });
    std::this_thread::sleep_until(began + disruptionAt);
    record::line("tokens begun so far=" + std::to_string(static_cast<long>(mostTokensInWindow(engines))));
    if (hasTrouble() && kind == "change")
        changeLimit(platform);
    if (hasTrouble() && kind == "kill")
        killAll(nodes);
    std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });

    for (const auto& [status, count] : counts.statuses)
        record::line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
    const double allowed = (ratePerSecond * windowSeconds + burst) * (1 + overrun) + slack;
    const double most = mostTokensInWindow(engines);
    record::line("most tokens in a window of 8 s=" + std::to_string(static_cast<long>(most))
        + " allowed=" + std::to_string(static_cast<long>(allowed)));
    return most > allowed ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string kind = argc > 1 ? argv[1] : "change";
    return review::runCase([&kind] { return playCase(kind); });
}
