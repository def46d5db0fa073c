// A machine freezes for a moment; meanwhile its waiting requests get slots and some of its clients leave.

#include "stand.h"

#include <algorithm>
#include <csignal>
#include <numeric>

namespace {

using namespace review;

constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 3;
constexpr unsigned slots = 6;
constexpr std::size_t allSlots = replicas * slots;
constexpr auto workTime = milliseconds(400);
// While orders run at all slots, further ones wait; the machine freezes before the first ones end.
constexpr auto waitingAfter = milliseconds(60);
constexpr auto freezeAfter = milliseconds(250);
constexpr auto leaveAfter = milliseconds(480);
constexpr auto freezeTime = milliseconds(300);
// These clients leave while the machine is frozen.
constexpr std::size_t leavingClients = 12;
// Interval of the tags, which clients send all the while.
constexpr auto tagInterval = milliseconds(20);
constexpr auto orderDeadline = milliseconds(4000);
// After the freeze, until machines are in touch again.
constexpr auto stableWindow = milliseconds(3000);
constexpr unsigned probes = 8;
constexpr unsigned roundsAfter = 32;
constexpr auto roundInterval = milliseconds(250);

const std::string configuration
    = R"({"version":1,"routes":[{"name":"orders","host":"carawaylink.example","path_prefix":"/orders/","route_kind":"non_idempotent",)"
      R"("timeout_ms":4000,"target_latency_ms":1000,"priority":0,"service":"desk","max_attempts":1,"public":true},)"
      R"({"name":"tags","host":"carawaylink.example","path_prefix":"/tags/","route_kind":"idempotent","timeout_ms":4000,)"
      R"("target_latency_ms":1000,"priority":0,"service":"tagger","max_attempts":2,"public":true}],"services":[{"name":"desk",)"
      R"("health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"tagger","health_path":"/healthz",)"
      R"("max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

request order(const std::string& attempt)
{
    return { "/orders/new", attempt, "POST", "", "", orderDeadline };
}

std::unique_ptr<connection> sendOrder(fleet& nodes, std::size_t machine, const std::string& attempt)
{
    auto client = connection::dial(nodes.frontend(machine));
    if (!client || !client->send(encode(order(attempt), host)))
        throw cannot_run { "a request could not be sent" };
    return client;
}

std::size_t countServed(std::vector<std::unique_ptr<connection>>& clients)
{
    return static_cast<std::size_t>(std::ranges::count_if(clients, [](const auto& client) {
        const auto received = client->read(orderDeadline);
        return received && received->status == 200;
    }));
}

// Orders run at all slots and a few wait at the machine. It freezes while these get slots, and their clients leave.
void freeze(fleet& nodes, std::size_t machine)
{
    std::vector<std::unique_ptr<connection>> running;
    std::vector<std::unique_ptr<connection>> waiting;
    const auto name = nodes.name(machine);
    const auto began = steady::now();
    for (std::size_t i = 0; i < allSlots; ++i)
        running.push_back(sendOrder(nodes, (machine + 1 + i % (machines - 1)) % machines, "runs-" + name + "-" + std::to_string(i)));
    std::this_thread::sleep_until(began + waitingAfter);
    for (std::size_t i = 0; i < leavingClients; ++i)
        waiting.push_back(sendOrder(nodes, machine, "waits-" + name + "-" + std::to_string(i)));
    std::this_thread::sleep_until(began + freezeAfter);
    if (hasTrouble())
        nodes.signal(machine, SIGSTOP);
    std::this_thread::sleep_until(began + leaveAfter);
    if (hasTrouble())
        waiting.clear();
    std::this_thread::sleep_until(began + freezeAfter + freezeTime);
    nodes.signal(machine, SIGCONT);
    const auto served = countServed(running);
    record::line((hasTrouble() ? "freeze of " : "no freeze of ") + name
        + ": clients that left=" + std::to_string(leavingClients - waiting.size())
        + ", orders that ran before served=" + std::to_string(served) + "/" + std::to_string(running.size()));
}

class desks {
public:
    explicit desks(store& platform)
    {
        for (std::size_t i = 0; i < replicas; ++i)
            m_replicas.push_back(
                std::make_unique<replica>(platform, "i-desk-" + std::to_string(i), "desk", "ncr-a", slots, answerAfter(workTime)));
    }

    std::size_t runs() const
    {
        return std::accumulate(m_replicas.begin(), m_replicas.end(), std::size_t { 0 },
            [](std::size_t sum, const auto& entry) { return sum + entry->runs().size(); });
    }

    unsigned active() const
    {
        return std::accumulate(
            m_replicas.begin(), m_replicas.end(), 0U, [](unsigned sum, const auto& entry) { return sum + entry->active(); });
    }

private:
    std::vector<std::unique_ptr<replica>> m_replicas;
};

struct counts {
    unsigned sent = 0;
    unsigned ordersServed = 0;
    unsigned tagsServed = 0;
    std::map<unsigned, unsigned> orderStatuses;
};

// Clients that send tags to all machines until they are stopped.
class tag_clients {
public:
    explicit tag_clients(fleet& nodes)
        : m_thread([this, &nodes](const std::stop_token& stopped) {
            std::vector<std::jthread> clients;
            for (std::size_t i = 0; !stopped.stop_requested(); ++i) {
                clients.emplace_back([this, &nodes, i] {
                    const request tag { "/tags/one", "steady-" + std::to_string(i), "POST", "", "", orderDeadline };
                    m_served += ask(nodes.frontend(i % machines), tag).isServed() ? 1 : 0;
                });
                ++m_sent;
                pauseFor(tagInterval);
            }
        })
    {
    }

    std::string summary() const { return std::to_string(m_served) + "/" + std::to_string(m_sent); }

private:
    std::atomic<unsigned> m_sent = 0;
    std::atomic<unsigned> m_served = 0;
    std::jthread m_thread;
};

// One order and one tag each round, at one machine after the other.
counts probe(fleet& nodes, const std::string& name, unsigned rounds)
{
    counts result;
    for (unsigned i = 0; i < rounds; ++i) {
        const auto& frontend = nodes.frontend(i % machines);
        const auto number = name + "-" + std::to_string(i);
        const auto ordered = ask(frontend, order("order-" + number));
        const auto tagged = ask(frontend, { "/tags/one", "tag-" + number, "POST", "", "", orderDeadline });
        ++result.sent;
        ++result.orderStatuses[ordered.status];
        result.ordersServed += ordered.isServed() ? 1 : 0;
        result.tagsServed += tagged.isServed() ? 1 : 0;
        pauseFor(roundInterval);
    }
    return result;
}

verdict playCase()
{
    store platform;
    platform.put("keyed.op", "config", configuration);
    desks orders(platform);
    replica tagger(platform, "i-tagger-1", "tagger", "ncr-a", slots, answerAfter(milliseconds(20)));
    fleet nodes(platform, { machines });
    nodes.startAll();
    pauseFor(milliseconds(2000));
    const tag_clients steadyTags(nodes);
    const auto before = probe(nodes, "before", probes);
    record::line("before: orders served=" + std::to_string(before.ordersServed) + "/" + std::to_string(before.sent));

    // The machine that owns the queue of the service is not affected, so another one follows, one at a time, while orders are served.
    for (std::size_t machine = 0; machine < machines; ++machine) {
        freeze(nodes, machine);
        pauseFor(stableWindow);
        if (probe(nodes, "between", probes).ordersServed == 0)
            break;
        pauseFor(stableWindow);
    }

    const auto runsBefore = orders.runs();
    const auto after = probe(nodes, "after", roundsAfter);
    for (const auto& [status, count] : after.orderStatuses)
        record::line("orders afterwards with status " + std::to_string(status) + ": " + std::to_string(count));
    record::line("afterwards, of " + std::to_string(after.sent) + " each: orders served=" + std::to_string(after.ordersServed)
        + " tags served=" + std::to_string(after.tagsServed) + " orders that reached a replica="
        + std::to_string(orders.runs() - runsBefore) + " orders at work at the replicas=" + std::to_string(orders.active()));
    record::line("tags served all the while=" + steadyTags.summary());
    const double all = (after.ordersServed + after.tagsServed) / 2.0;
    return before.ordersServed == probes && after.tagsServed > 0 && after.ordersServed < all / 4 ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return review::runCase(playCase);
}
