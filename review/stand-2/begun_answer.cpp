// Requests with one prompt part that crashes replicas come one after the other. A replica ends after the first event of its answer. Counts
// the requests that reach replicas later than the stable time after the fifth crash (BUDGET).
#include "deployment.h"

#include <algorithm>
#include <cstdio>

using namespace review_two;

namespace {

constexpr std::size_t machines = 4;
constexpr std::size_t replicas = 9;
constexpr unsigned slots = 12;
constexpr std::size_t deadlyRequests = 20;
constexpr auto deadlyInterval = milliseconds(1000);
constexpr auto prefillTime = milliseconds(60);
constexpr auto eventGap = milliseconds(20);
constexpr unsigned events = 20;
constexpr auto downTime = milliseconds(4000);
constexpr auto deadline = milliseconds(8000);
constexpr std::size_t soundClients = 8;
constexpr auto soundPause = milliseconds(150);
constexpr auto warmUp = milliseconds(4000);
// Bounds of the rule.
constexpr auto stableTime = milliseconds(3000);
constexpr std::size_t crashesToKnow = 5;
constexpr std::size_t allowedRequests = 3;

const std::string sharedPart = "5c1e07a2:60";
const std::string deadlyPart = "bad0bad0:300";
const std::string harmlessPart = "600d600d:300";

struct event_times {
    std::mutex mutex;
    std::vector<steady::time_point> arrivals;
    std::vector<steady::time_point> crashes;
};

bool isDeadly(const message& asked)
{
    return asked.header("Prefix-Hash").find(deadlyPart) != std::string::npos;
}

bool stream(connection& caller, const std::string& own, unsigned count)
{
    if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + own + "\r\n"))
        return false;
    for (unsigned i = 1; i <= count; ++i) {
        const auto event = "id: " + std::to_string(i) + "\ndata: word\n\n";
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (caller.isClosedWithin(eventGap) || !caller.send(size + event + "\r\n"))
            return false;
    }
    return count < events || caller.send("0\r\n\r\n");
}

request ask(const std::string& part)
{
    request asked;
    asked.target = "/ink/check";
    asked.attempt = uniqueId();
    asked.deadline = deadline;
    // No two requests are alike.
    asked.body = "{\"prompt\":\"" + uniqueId() + "\"}";
    asked.headers = "Model: m\r\nToken-Counts: 660,200\r\nPrefix-Hash: " + sharedPart + "," + part + "," + uniqueId() + ":300\r\n";
    return asked;
}

} // namespace

int main(int, char** arguments)
{
    record notes(arguments[1]);
    const auto part = hasTrouble() ? deadlyPart : harmlessPart;
    store platform;
    platform.put("keyed.op", "config", configuration(1, { { "ink-check", "/ink/", "prepress-llm", "streaming", 1, 15000, 400 } }));
    event_times seen;
    const auto run = [&](replica& self, connection& caller, const message& asked, const std::string& own) {
        const bool crashes = isDeadly(asked);
        if (crashes) {
            const std::lock_guard guard(seen.mutex);
            seen.arrivals.push_back(steady::now());
            notes.line("replica=" + self.id() + " got request=" + asked.header("Attempt-Id") + " with the deadly part");
        }
        if (!crashes)
            notes.line("replica=" + self.id() + " runs request=" + asked.header("Attempt-Id"));
        if (caller.isClosedWithin(prefillTime))
            return false;
        if (!stream(caller, own, crashes ? 1 : events) || !crashes)
            return !crashes;
        {
            const std::lock_guard guard(seen.mutex);
            if (!self.isDown())
                seen.crashes.push_back(steady::now());
        }
        notes.line("replica=" + self.id() + " crashes on request=" + asked.header("Attempt-Id"));
        self.crash(downTime);
        return false;
    };
    std::vector<std::unique_ptr<replica>> servers;
    for (std::size_t i = 0; i < replicas; ++i)
        servers.push_back(std::make_unique<replica>(
            platform, "i-llm-" + std::to_string(i), "prepress-llm", "zone-" + std::to_string(i % machines), slots, run));
    fleet nodes(platform, machines);
    if (!nodes.start())
        return 2;
    std::atomic<bool> isEnded = false;
    std::atomic<std::size_t> sound = 0;
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < soundClients; ++i) {
        clients.emplace_back([&, i] {
            while (!isEnded) {
                sound += review_two::ask(notes, nodes.frontend(i % machines), ask("50a4d" + std::to_string(i) + ":300")).status() == 200;
                std::this_thread::sleep_for(soundPause);
            }
        });
    }
    std::this_thread::sleep_for(warmUp);
    const auto first = steady::now();
    for (std::size_t i = 0; i < deadlyRequests; ++i) {
        std::this_thread::sleep_until(first + i * deadlyInterval);
        clients.emplace_back([&, i] {
            const auto asked = ask(part);
            const auto answer = review_two::ask(notes, nodes.frontend(i % machines), asked);
            notes.line("machine=" + std::to_string(i % machines) + " request=" + asked.attempt
                + " answered status=" + std::to_string(answer.status()) + " body=" + answer.body.substr(0, 60));
        });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    isEnded = true;
    clients.clear();
    const std::lock_guard guard(seen.mutex);
    std::size_t late = 0;
    if (seen.crashes.size() >= crashesToKnow) {
        std::ranges::sort(seen.crashes);
        const auto from = seen.crashes[crashesToKnow - 1] + stableTime;
        late = static_cast<std::size_t>(std::ranges::count_if(seen.arrivals, [from](auto time) { return time > from; }));
    }
    const auto result = "crashes=" + std::to_string(seen.crashes.size()) + " arrivals=" + std::to_string(seen.arrivals.size())
        + " later_than_stable_time_after_fifth_crash=" + std::to_string(late) + " allowed=" + std::to_string(allowedRequests)
        + " sound_answers=" + std::to_string(sound.load());
    notes.line(result);
    std::puts(result.c_str());
    if (sound == 0 || (hasTrouble() && seen.crashes.size() < crashesToKnow))
        return 2;
    return late > allowedRequests ? 1 : 0;
}
