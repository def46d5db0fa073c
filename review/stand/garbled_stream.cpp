// Replicas spoil a few of their streams: one digit of an event's id is wrong.

#include "stand.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <set>
#include <sstream>

namespace {

using namespace review;

// The deployment starts anew this often, with other names, since what memory a process uses again depends on both.
constexpr unsigned rounds = 11;
constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 9;
constexpr unsigned slots = 12;
constexpr unsigned events = 8;
constexpr auto eventInterval = milliseconds(20);
// Of these replicas, one of so many answers is spoiled.
constexpr std::size_t garblingReplicas = 3;
constexpr unsigned answersPerSpoiled = 50;
constexpr unsigned spoiledEvent = 5;
constexpr unsigned wrongId = 7;
// Clients keep a connection to one machine and send one request after the other.
constexpr std::size_t clients = 60;
constexpr auto requestDeadline = milliseconds(5000);
// Replicas spoil answers for no longer than this, and machines are in touch before.
constexpr auto sendingTime = milliseconds(5500);
constexpr auto stableWindow = milliseconds(3000);
constexpr auto reconnectDelay = milliseconds(200);
constexpr int maxPromptTokens = 3310;
constexpr unsigned allowedLosses = 3;

// The name of the route is longer in each round.
std::string configurationOf(unsigned round)
{
    return R"({"version":1,"routes":[{"name":"r-)" + std::string("8m82thh4q0zk").substr(0, 1 + round)
        + R"(","host":"carawaylink.example","path_prefix":"/pufi791/","route_kind":"streaming","timeout_ms":15000,)"
          R"("target_latency_ms":400,"priority":0,"service":"llm","max_attempts":1,"public":true,"sticky":true,"resumable":false,)"
          R"("gap_aim_ms":300}],"services":[{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,)"
          R"("engine":{"slots":12,"kv_capacity":410015,"kv_bytes":163840,"link_mbps":550000.0,"moves":true,"backups":true,"stride":5,)"
          R"("most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

std::atomic<unsigned> answers = 0;
std::atomic<unsigned> spoiledAnswers = 0;

bool streamAnswer(connection& caller, const std::string& headers, bool isGarbling)
{
    const bool isSpoiled = isGarbling && hasTrouble() && ++answers % answersPerSpoiled == 0;
    spoiledAnswers += isSpoiled ? 1 : 0;
    if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + headers + "\r\n"))
        return false;
    for (unsigned id = 1; id <= events; ++id) {
        pauseFor(eventInterval);
        const auto sentId = isSpoiled && id == spoiledEvent ? wrongId : id;
        if (caller.isClosedByPeer() || !caller.send(chunkOf(eventOf(sentId))))
            return false;
    }
    return caller.send("0\r\n\r\n");
}

// An attempt id in the form of the protocol's examples: 16 hexadecimal digits.
std::string attemptId(unsigned number)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << 0x9c41d07be2a00000ULL + number;
    return text.str();
}

struct traffic {
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
    std::mutex mutex;
    /// Attempts on a kept connection that ended without a whole answer.
    std::set<std::string> lost;
};

// Sends one request after the other to a machine on a kept connection.
void sendAll(const std::string& frontend, unsigned seed, steady::time_point until, traffic& seen)
{
    std::mt19937 random(seed);
    std::unique_ptr<connection> kept;
    for (unsigned onConnection = 0; steady::now() < until; ++onConnection) {
        if (!kept) {
            kept = connection::dial(frontend);
            onConnection = 0;
        }
        const auto prompt = std::uniform_int_distribution(1, maxPromptTokens)(random);
        request asked { "/pufi791/2f", attemptId(static_cast<unsigned>(random()) >> 8), "POST", "", "", requestDeadline };
        asked.tokenCounts = std::to_string(prompt) + ",290";
        ++seen.sent;
        const auto received = kept && kept->send(encode(asked, host)) ? kept->read(requestDeadline) : std::nullopt;
        if (received) {
            seen.served += received->status == 200 ? 1 : 0;
            continue;
        }
        if (onConnection > 0) {
            const std::lock_guard guard(seen.mutex);
            seen.lost.insert(asked.attempt);
        }
        kept.reset();
        pauseFor(reconnectDelay);
    }
}

struct round_result {
    unsigned lostAtSoundReplicas = 0;
    unsigned endedProcesses = 0;
};

round_result playRound(unsigned round)
{
    store platform;
    platform.put("keyed.op", "config", configurationOf(round));
    std::vector<std::unique_ptr<replica>> engines;
    for (std::size_t i = 0; i < replicas; ++i) {
        const work todo = [isGarbling = i < garblingReplicas](connection& caller, const message&, const std::string& headers) {
            return streamAnswer(caller, headers, isGarbling);
        };
        engines.push_back(std::make_unique<replica>(platform, "i-7f3a91c" + std::to_string(i), "llm", "ncr-a", slots, todo));
    }
    fleet nodes(platform, { machines });
    nodes.startAll();
    pauseFor(stableWindow);
    traffic seen;
    {
        const auto until = steady::now() + sendingTime;
        std::vector<std::jthread> threads;
        for (unsigned client = 0; client < clients; ++client)
            threads.emplace_back([&, client] { sendAll(nodes.frontend(client % machines), round * clients + client, until, seen); });
    }
    round_result result;
    for (std::size_t machine = 0; machine < machines; ++machine) {
        if (nodes.isRunning(machine))
            continue;
        ++result.endedProcesses;
        record::line("process of " + nodes.name(machine) + " ended by itself: " + nodes.lastEnd(machine));
    }
    for (std::size_t i = garblingReplicas; i < replicas; ++i) {
        for (const auto& entry : engines[i]->runs())
            result.lostAtSoundReplicas += seen.lost.contains(entry.attempt) ? 1 : 0;
    }
    record::line("round " + std::to_string(round + 1) + ": requests=" + std::to_string(seen.sent) + " served=" + std::to_string(seen.served)
        + " spoiled answers so far=" + std::to_string(spoiledAnswers) + " processes that ended by themselves="
        + std::to_string(result.endedProcesses) + " requests on kept connections that a sound replica ran and that got no whole answer="
        + std::to_string(result.lostAtSoundReplicas) + " allowed=" + std::to_string(allowedLosses));
    return result;
}

verdict playCase()
{
    bool isBroken = false;
    for (unsigned round = 0; round < rounds; ++round) {
        const auto result = playRound(round);
        isBroken = isBroken || (result.endedProcesses > 0 && result.lostAtSoundReplicas > allowedLosses);
    }
    return isBroken ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return review::runCase(playCase);
}
