// A shared part of prompts crashes each replica that begins to answer it, for longer than a minute.

#include "stand.h"

#include <algorithm>

namespace {

using namespace review;

constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 9;
constexpr unsigned slots = 12;
// Time until a replica begins to answer.
constexpr auto readingTime = milliseconds(30);
constexpr unsigned events = 4;
constexpr auto eventInterval = milliseconds(20);
constexpr auto downTime = milliseconds(3000);
constexpr auto requestDeadline = milliseconds(3000);
// Requests with the part, and sound ones, of all clients together.
constexpr auto poisonedInterval = milliseconds(33);
constexpr auto soundInterval = milliseconds(30);
constexpr auto sendingTime = milliseconds(75000);
constexpr auto stableWindow = milliseconds(3000);
constexpr std::size_t firstCrashes = 5;
constexpr std::size_t allowedRequests = 3;

const std::string poisonedPart = "bad0bad1";
const std::string soundPart = "5c1e07a2";

const std::string configuration = R"({"version":1,"routes":[{"name":"asks","host":"carawaylink.example","path_prefix":"/asks/",)"
                                  R"("route_kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"service":"llm",)"
                                  R"("max_attempts":1,"public":true,"sticky":true,"resumable":false,"gap_aim_ms":300}],"services":[{)"
                                  R"("name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{)"
                                  R"("slots":12,"kv_capacity":410015,"kv_bytes":163840,"link_mbps":550000.0,"moves":true,)"
                                  R"("backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{)"
                                  R"("name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
                                  R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

struct arrival {
    std::string attempt;
    std::string replica;
    double at = 0;
};

class history {
public:
    void addSend(const std::string& attempt)
    {
        const std::lock_guard guard(m_mutex);
        m_sentAt[attempt] = secondsSinceStart();
    }

    void addArrival(const std::string& attempt, const std::string& replica)
    {
        const std::lock_guard guard(m_mutex);
        m_arrivals.push_back({ attempt, replica, secondsSinceStart() });
    }

    void addCrash(const std::string& replica)
    {
        const std::lock_guard guard(m_mutex);
        m_crashes.push_back(secondsSinceStart());
        record::line("crash " + std::to_string(m_crashes.size()) + " replica " + replica);
    }

    void addStatus(const std::string& kind, unsigned status)
    {
        const std::lock_guard guard(m_mutex);
        ++m_statuses[kind + " " + std::to_string(status)];
    }

    verdict judge()
    {
        const std::lock_guard guard(m_mutex);
        for (const auto& [name, count] : m_statuses)
            record::line("answers " + name + ": " + std::to_string(count));
        record::line("crashes=" + std::to_string(m_crashes.size())
            + " requests with the part that reached a replica=" + std::to_string(m_arrivals.size()));
        if (m_crashes.size() < firstCrashes)
            return verdict::held;
        const auto from = m_crashes[firstCrashes - 1] + std::chrono::duration<double>(stableWindow).count();
        std::size_t late = 0;
        for (const auto& entry : m_arrivals) {
            if (m_sentAt.at(entry.attempt) <= from)
                continue;
            ++late;
            record::line("late request " + entry.attempt + " reached " + entry.replica + " at " + std::to_string(entry.at));
        }
        record::line("fifth crash at " + std::to_string(m_crashes[firstCrashes - 1]) + ", requests with the part sent later than "
            + std::to_string(from) + " that reached a replica=" + std::to_string(late) + " allowed=" + std::to_string(allowedRequests));
        return late > allowedRequests ? verdict::broken : verdict::held;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, double> m_sentAt;
    std::vector<arrival> m_arrivals;
    std::vector<double> m_crashes;
    std::map<std::string, unsigned> m_statuses;
};

// Sends requests at a fixed rate, each from a client of its own, to the machines in turn.
void sendAll(fleet& nodes, const std::string& kind, const std::string& part, milliseconds interval, history& seen)
{
    const auto began = steady::now();
    std::vector<std::jthread> clients;
    for (unsigned i = 0; i * interval < sendingTime; ++i) {
        std::this_thread::sleep_until(began + i * interval);
        request sent { "/asks/tag", kind + "-" + std::to_string(i), "POST", "", "600,20", requestDeadline };
        sent.promptParts = soundPart + ":60," + part + ":40," + std::to_string(100000 + i) + ":500";
        seen.addSend(sent.attempt);
        clients.emplace_back([&nodes, &seen, kind, sent, i] { seen.addStatus(kind, ask(nodes.frontend(i % machines), sent).status); });
    }
}

verdict playCase()
{
    store platform;
    platform.put("keyed.op", "config", configuration);
    history seen;
    std::map<std::string, replica*> byId;
    std::vector<std::unique_ptr<replica>> engines;
    const auto stream = streamEvents(events, eventInterval);
    for (std::size_t i = 0; i < replicas; ++i) {
        const auto id = "i-llm-" + std::to_string(i);
        const work todo = [&, id](connection& caller, const message& asked, const std::string& headers) {
            pauseFor(readingTime);
            if (asked.header("prefix-hash").find(poisonedPart) == std::string::npos)
                return stream(caller, asked, headers);
            seen.addArrival(asked.header("attempt-id"), id);
            if (!hasTrouble())
                return stream(caller, asked, headers);
            seen.addCrash(id);
            byId.at(id)->crash(downTime);
            waitUntil(milliseconds(2000), [&] { return caller.isClosedByPeer(); });
            return false;
        };
        engines.push_back(std::make_unique<replica>(platform, id, "llm", "ncr-a", slots, todo));
        byId[id] = engines.back().get();
    }
    fleet nodes(platform, { machines });
    nodes.startAll();
    pauseFor(milliseconds(2000));
    std::jthread sound([&] { sendAll(nodes, "sound", "91bd3f06", soundInterval, seen); });
    pauseFor(milliseconds(2000));
    sendAll(nodes, "poisoned", poisonedPart, poisonedInterval, seen);
    sound.join();
    return seen.judge();
}

} // namespace

int main()
{
    return review::runCase(playCase);
}
