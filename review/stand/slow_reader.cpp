// Clients read their answers slowly while their machine gets SIGTERM.

#include "stand.h"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr std::size_t machines = 4;
constexpr std::size_t clients = 6;
constexpr unsigned slots = 12;
constexpr std::size_t answerBytes = 3U << 20;
constexpr auto answerTime = milliseconds(50);
constexpr auto requestDeadline = milliseconds(15000);
constexpr int receiveBuffer = 16 * 1024;
// A client takes this long for the whole answer at its speed.
constexpr auto readingTime = milliseconds(6500);
constexpr std::size_t pieces = 300;
constexpr auto termAfter = milliseconds(500);
constexpr auto grace = milliseconds(8000);
constexpr auto stableWindow = milliseconds(3000);

const std::string configuration = R"({"version":1,"routes":[{"name":"reports","host":"carawaylink.example","path_prefix":"/reports/",)"
                                  R"("route_kind":"idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":0,)"
                                  R"("service":"desk","max_attempts":2,"public":true}],"services":[{"name":"desk",)"
                                  R"("health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{)"
                                  R"("max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
                                  R"("idle_timeout_ms":15000},"tenants":[]})";

struct reading {
    std::string attempt;
    std::size_t bodyBytes = 0;
    bool hasHead = false;
    bool isComplete = false;
    double endedAt = 0;
};

// Reads an answer with a length piece by piece.
void readSlowly(connection& client, reading& result)
{
    std::string received;
    std::size_t headBytes = 0;
    const auto began = steady::now();
    for (std::size_t piece = 1; received.size() < headBytes + answerBytes; ++piece) {
        if (client.receive(received, requestDeadline, answerBytes / pieces) <= 0)
            break;
        if (headBytes == 0 && received.find("\r\n\r\n") != std::string::npos) {
            headBytes = received.find("\r\n\r\n") + 4;
            result.hasHead = received.starts_with("HTTP/1.1 200");
        }
        std::this_thread::sleep_until(began + piece * readingTime / pieces);
    }
    result.bodyBytes = received.size() - headBytes;
    result.isComplete = headBytes > 0 && result.bodyBytes == answerBytes;
    result.endedAt = secondsSinceStart();
}

verdict playCase()
{
    store platform;
    platform.put("keyed.op", "config", configuration);
    replica desk(platform, "i-desk-1", "desk", "ncr-a", slots, answerAfter(answerTime, answerBytes));
    fleet nodes(platform, { machines });
    nodes.startAll();
    pauseFor(stableWindow);

    std::vector<reading> readings(clients);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            readings[i].attempt = "report-" + std::to_string(i);
            const auto client = connection::dial(nodes.frontend(0), receiveBuffer);
            if (client && client->send(encode({ "/reports/all", readings[i].attempt, "POST", "", "", requestDeadline }, host)))
                readSlowly(*client, readings[i]);
        });
    }
    pauseFor(termAfter);
    const auto runs = desk.runs();
    const auto answered = std::ranges::count_if(runs, &run::isComplete);
    record::line("runs at the replica=" + std::to_string(runs.size()) + " of them answered whole=" + std::to_string(answered));
    const auto termAt = steady::now();
    if (hasTrouble()) {
        nodes.signal(0, SIGTERM);
        record::line("SIGTERM to " + nodes.name(0));
    }
    std::jthread platformKill([&] {
        const bool hasEnded = waitUntil(grace, [&] { return !nodes.isRunning(0); });
        if (hasTrouble())
            record::line("process of " + nodes.name(0) + (hasEnded ? " ended " : " still ran ")
                + std::to_string(std::chrono::duration_cast<milliseconds>(steady::now() - termAt).count()) + " ms after SIGTERM");
    });
    std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });
    for (const auto& entry : readings)
        record::line("request " + entry.attempt + " head=" + (entry.hasHead ? "200" : "none") + " body=" + std::to_string(entry.bodyBytes)
            + "/" + std::to_string(answerBytes) + " complete=" + (entry.isComplete ? "1" : "0") + " ended at "
            + std::to_string(entry.endedAt));
    const auto cut = std::ranges::count_if(readings, [](const reading& entry) { return !entry.isComplete; });
    record::line("answers cut=" + std::to_string(cut) + " of " + std::to_string(clients));
    return cut > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return review::runCase(playCase);
}
