#include "load/replay.h"

#include "base/error.h"
#include "http/io_threads.h"
#include "http/message.h"
#include "replay_driver.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace carawaylink::load {
namespace {

// Gives every thread the time to arm its first timer before the first arrival.
constexpr auto startDelay = std::chrono::milliseconds(50);
constexpr auto flushInterval = std::chrono::milliseconds(500);
// Cancelled calls report their end within milliseconds.
constexpr auto cancelTime = std::chrono::seconds(5);

void checkSettings(const replay_settings& settings)
{
    if (settings.entry.empty())
        throw error(error_kind::invalid_argument, "no entry address is given", "pass --entry ip:port");
    for (const auto& address : settings.entry)
        parseAddress(address);
    if (settings.threads < 1 || settings.threads > 64)
        throw error(error_kind::invalid_argument, "threads must be from 1 to 64", "correct --threads");
    const auto plainCharacter
        = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_'; };
    if (settings.runId.empty() || !std::ranges::all_of(settings.runId, plainCharacter))
        throw error(error_kind::invalid_argument, "run id \"" + settings.runId + "\" must be letters, digits, - and _", "correct --run-id");
    if (!(settings.speed > 0))
        throw error(error_kind::invalid_argument, "speed must be above 0", "correct --speed");
}

/// Counts down the drivers that still have open calls.
class completion {
public:
    explicit completion(std::size_t count)
        : m_left(count)
    {
    }

    void oneDone()
    {
        const std::lock_guard lock(m_mutex);
        if (--m_left == 0)
            m_changed.notify_all();
    }

    bool waitUntil(monotonic_time limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_until(lock, limit, [&] { return m_left == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_left;
};

} // namespace

replay_totals replayTrace(const replay_settings& settings, const std::vector<trace_call>& calls, history_writer& writer)
{
    checkSettings(settings);
    io_threads threads(settings.threads);
    std::vector<std::unique_ptr<replay_driver>> drivers;
    for (std::size_t i = 0; i < settings.threads; ++i)
        drivers.push_back(std::make_unique<replay_driver>(threads.context(i), settings, calls, writer, i));
    completion done(settings.threads);
    const auto origin = std::chrono::steady_clock::now() + startDelay;
    for (std::size_t i = 0; i < settings.threads; ++i)
        threads.post(i, [&, i] { drivers[i]->start(origin, [&done] { done.oneDone(); }); });

    const auto span = calls.empty() ? std::chrono::milliseconds(0) : calls.back().at;
    const auto limit = origin + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(span) / settings.speed)
        + settings.drainLimit;
    bool finished = false;
    while (!finished && std::chrono::steady_clock::now() < limit) {
        finished = done.waitUntil(std::min(limit, std::chrono::steady_clock::now() + flushInterval));
        writer.flush();
    }
    if (!finished) {
        for (std::size_t i = 0; i < settings.threads; ++i)
            threads.post(i, [&drivers, i] { drivers[i]->abandon(); });
        done.waitUntil(std::chrono::steady_clock::now() + cancelTime);
    }
    threads.stop();

    replay_totals totals;
    totals.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - origin);
    std::map<std::uint8_t, latency_histogram> gaps;
    for (const auto& driver : drivers) {
        totals.offered += driver->totals().offered;
        totals.abandoned += driver->totals().abandoned;
        totals.tokens += driver->totals().tokens;
        totals.largestLag = std::max(totals.largestLag, driver->totals().largestLag);
        for (const auto& [urgency, histogram] : driver->tokenGaps())
            gaps[urgency].merge(histogram);
    }
    for (const auto& [urgency, histogram] : gaps) {
        history_record record;
        record.event = "token_gaps";
        record.timeUs = historyTimeUs();
        record.tier = urgency;
        record.buckets = histogram.buckets();
        writer.write(callerLine(record));
    }
    writer.flush();
    return totals;
}

} // namespace carawaylink::load
