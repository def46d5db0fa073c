// A replica answers with bytes that are no answer and do not end; the platform kills a process that exceeds its memory.

#include "stand.h"

#include <algorithm>

namespace {

using namespace review;

constexpr unsigned rounds = 3;
constexpr std::size_t machines = 4;
constexpr std::size_t affectedMachines = 2;
constexpr unsigned slots = 6;
constexpr long memoryLimitMb = 165;
constexpr auto requestDeadline = milliseconds(4000);
// Sound requests that run at the machine at the same time, and how long they take.
constexpr unsigned soundRequests = 3;
constexpr auto soundWork = milliseconds(1500);
constexpr auto restartDelay = milliseconds(500);
// The link of a machine.
constexpr double linkBytesPerSecond = 1500e6 / 8;
constexpr std::size_t pieceBytes = 256 * 1024;
// What the replica would send in a sound answer's place; far above the limit of the machine's memory.
constexpr double maxBytes = 4e9;

const std::string configuration = R"({"version":1,"routes":[{"name":"orders","host":"carawaylink.example","path_prefix":"/orders/",)"
                                  R"("route_kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":0,)"
                                  R"("service":"desk","max_attempts":1,"public":true}],"services":[{"name":"desk",)"
                                  R"("health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{)"
                                  R"("max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
                                  R"("idle_timeout_ms":15000},"tenants":[]})";

std::atomic<bool> isFaulty = false;

// A sound head, then bytes that are no chunk, no faster than the link, until the caller closes.
bool answerWithoutEnd(connection& caller, const std::string& headers)
{
    if (!caller.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + headers + "\r\n"))
        return false;
    const std::string piece(pieceBytes, 'x');
    const auto began = steady::now();
    for (double sent = 0; sent < maxBytes; sent += static_cast<double>(piece.size())) {
        const auto due = began + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(sent / linkBytesPerSecond));
        std::this_thread::sleep_until(due);
        if (!caller.send(piece, milliseconds(5000)))
            return false;
    }
    return false;
}

// Kills a process above its memory limit, as the platform does, and starts it again.
bool enforceMemoryLimit(fleet& nodes, std::size_t machine)
{
    const auto used = nodes.memoryMb(machine);
    if (used <= memoryLimitMb)
        return false;
    nodes.kill(machine);
    record::line("killed " + nodes.name(machine) + " at " + std::to_string(used) + " MB, limit " + std::to_string(memoryLimitMb));
    return true;
}

verdict playCase()
{
    store platform;
    platform.put("keyed.op", "config", configuration);
    const auto sound = answerAfter(soundWork);
    const work todo = [&sound](connection& caller, const message& asked, const std::string& headers) {
        const bool isEndless = isFaulty && asked.header("attempt-id").starts_with("trouble");
        return isEndless ? answerWithoutEnd(caller, headers) : sound(caller, asked, headers);
    };
    replica desk(platform, "i-desk-1", "desk", "ncr-a", slots, todo);
    fleet nodes(platform, { machines, static_cast<unsigned>(memoryLimitMb) });
    nodes.startAll();
    pauseFor(milliseconds(2000));
    isFaulty = hasTrouble();

    unsigned ends = 0;
    unsigned lost = 0;
    unsigned served = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        for (std::size_t machine = 0; machine < affectedMachines; ++machine) {
            long peak = 0;
            std::atomic<bool> isDone = false;
            answer received;
            std::vector<answer> others(soundRequests);
            std::vector<std::thread> otherClients;
            for (unsigned i = 0; i < soundRequests; ++i) {
                otherClients.emplace_back([&, i] {
                    const auto attempt = "sound-" + std::to_string(round) + "-" + std::to_string(machine) + "-" + std::to_string(i);
                    others[i] = ask(nodes.frontend(machine), { "/orders/new", attempt, "POST", "", "", requestDeadline });
                });
            }
            pauseFor(milliseconds(100));
            const auto attempt = "trouble-" + std::to_string(round) + "-" + std::to_string(machine);
            std::thread client([&] {
                received = ask(nodes.frontend(machine), { "/orders/new", attempt, "POST", "", "", requestDeadline });
                isDone = true;
            });
            bool wasKilled = false;
            while (!isDone) {
                peak = std::max(peak, nodes.memoryMb(machine));
                wasKilled = wasKilled || enforceMemoryLimit(nodes, machine);
                pauseFor(milliseconds(5));
            }
            client.join();
            std::ranges::for_each(otherClients, [](std::thread& other) { other.join(); });
            const auto othersLost = std::ranges::count_if(others, [](const answer& other) { return !other.isServed(); });
            record::line("request " + attempt + " at " + nodes.name(machine) + " status=" + std::to_string(received.status) + " peak_mb="
                + std::to_string(peak) + " killed=" + (wasKilled ? "1" : "0") + " sound requests lost=" + std::to_string(othersLost));
            ends += wasKilled ? 1 : 0;
            lost += static_cast<unsigned>(othersLost);
            served += received.isServed() ? 1 : 0;
            if (wasKilled) {
                pauseFor(restartDelay);
                nodes.start(machine);
                nodes.waitUntilReady();
            }
            pauseFor(milliseconds(1500));
        }
    }
    for (std::size_t machine = 0; machine < machines; ++machine) {
        const auto after
            = ask(nodes.frontend(machine), { "/orders/new", "after-" + std::to_string(machine), "POST", "", "", requestDeadline });
        record::line("request after at " + nodes.name(machine) + " status=" + std::to_string(after.status));
    }
    record::line("processes ended for memory=" + std::to_string(ends) + " sound requests lost with them=" + std::to_string(lost)
        + " served=" + std::to_string(served) + " of " + std::to_string(rounds * affectedMachines));
    return ends == rounds * affectedMachines ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return review::runCase(playCase);
}
