// Replicas start again under the ids that they had and first turn requests away with 503 and Retry-After. Counts the requests that reach
// them from a machine in the time for which they want none (BUDGET).
#include "deployment.h"

#include <algorithm>
#include <cstdio>

using namespace review_two;

namespace {

constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 9;
constexpr unsigned slots = 12;
constexpr unsigned events = 10;
constexpr auto eventGap = milliseconds(30);
constexpr auto deadline = milliseconds(8000);
// One for each slot, so that requests wait only while a replica is missing.
constexpr std::size_t clientCount = replicas * slots;
constexpr auto refusalPause = milliseconds(200);
constexpr std::size_t restarts = 6;
// Not a multiple of the interval at which machines read the store.
constexpr auto restartInterval = milliseconds(8150);
constexpr auto downTime = milliseconds(300);
// A replica that has started refuses for the first time, and wants nothing from a machine for the second one after each refusal.
constexpr auto refusingTime = milliseconds(6000);
constexpr auto restTime = milliseconds(4000);
// Bounds of the rule.
constexpr auto restSlack = milliseconds(500);
constexpr std::size_t allowedRequests = 2;

struct arrival {
    std::string replica;
    std::size_t machine;
    steady::time_point at;
    bool isRefused;
};

struct ledger {
    std::mutex mutex;
    std::map<std::string, std::size_t> machineOf;
    std::map<std::string, steady::time_point> refusesUntil;
    std::vector<arrival> arrivals;
};

} // namespace

int main(int, char** arguments)
{
    record notes(arguments[1]);
    store platform;
    platform.put("keyed.op", "config", configuration(1, { { "ink-check", "/ink/", "prepress-llm", "streaming", 1, 8000, 1500 } }));
    ledger seen;
    const auto run = [&](replica& self, connection& caller, const message& asked, const std::string& own) {
        bool isRefused = false;
        {
            const std::lock_guard guard(seen.mutex);
            isRefused = steady::now() < seen.refusesUntil[self.id()];
            seen.arrivals.push_back({ self.id(), seen.machineOf[asked.header("Attempt-Id")], steady::now(), isRefused });
        }
        notes.line("replica=" + self.id() + (isRefused ? " refuses request=" : " runs request=") + asked.header("Attempt-Id"));
        if (isRefused) {
            return caller.send("HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nRetry-After: " + std::to_string(restTime.count() / 1000)
                + "\r\n" + own + "Content-Length: 0\r\n\r\n");
        }
        if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + own + "\r\n"))
            return false;
        for (unsigned i = 0; i < events; ++i) {
            if (!caller.send("12\r\nid: " + std::to_string(i) + "\ndata: word\n\n\r\n") || caller.isClosedWithin(eventGap))
                return false;
        }
        return caller.send("0\r\n\r\n");
    };
    std::vector<std::unique_ptr<replica>> servers;
    for (std::size_t i = 0; i < replicas; ++i)
        servers.push_back(std::make_unique<replica>(
            platform, "i-llm-" + std::to_string(i), "prepress-llm", "zone-" + std::to_string(i % machines), slots, run));
    fleet nodes(platform, machines);
    if (!nodes.start())
        return 2;
    std::atomic<bool> isEnded = false;
    std::atomic<std::size_t> served = 0;
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            while (!isEnded) {
                request asked;
                asked.target = "/ink/check";
                asked.attempt = uniqueId();
                asked.deadline = deadline;
                asked.body = "{\"prompt\":\"" + uniqueId() + "\"}";
                asked.headers = "Model: m\r\nToken-Counts: 600,10\r\n";
                {
                    const std::lock_guard guard(seen.mutex);
                    seen.machineOf[asked.attempt] = i % machines;
                }
                const auto answer = ask(notes, nodes.frontend(i % machines), asked);
                if (answer.status() == 200)
                    ++served;
                else
                    std::this_thread::sleep_for(refusalPause);
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(4000));
    const auto first = steady::now();
    for (std::size_t i = 0; i < restarts; ++i) {
        std::this_thread::sleep_until(first + i * restartInterval);
        auto& chosen = *servers[i];
        {
            const std::lock_guard guard(seen.mutex);
            seen.refusesUntil[chosen.id()] = steady::now() + downTime + refusingTime;
        }
        notes.line("replica=" + chosen.id() + (hasTrouble() ? " starts again" : " begins to refuse"));
        if (hasTrouble())
            chosen.crash(downTime);
    }
    std::this_thread::sleep_for(restartInterval);
    isEnded = true;
    clients.clear();
    const std::lock_guard guard(seen.mutex);
    std::size_t refusals = 0;
    std::size_t worst = 0;
    for (const auto& refused : seen.arrivals) {
        if (!refused.isRefused)
            continue;
        ++refusals;
        const auto unwanted = static_cast<std::size_t>(std::ranges::count_if(seen.arrivals, [&](const arrival& later) {
            return later.replica == refused.replica && later.machine == refused.machine && later.at > refused.at + restSlack
                && later.at < refused.at + restTime;
        }));
        if (unwanted > allowedRequests)
            notes.line("replica=" + refused.replica + " machine=" + std::to_string(refused.machine)
                + " requests in the time of rest=" + std::to_string(unwanted));
        worst = std::max(worst, unwanted);
    }
    const auto result = "refusals=" + std::to_string(refusals) + " most_requests_of_a_machine_in_a_rest=" + std::to_string(worst)
        + " allowed=" + std::to_string(allowedRequests) + " served=" + std::to_string(served.load());
    notes.line(result);
    std::puts(result.c_str());
    if (refusals == 0 || served == 0)
        return 2;
    return worst > allowedRequests ? 1 : 0;
}
