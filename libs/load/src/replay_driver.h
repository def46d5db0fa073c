#pragma once

#include "load/answer_checker.h"
#include "load/entry_cache.h"
#include "load/latency_histogram.h"
#include "load/replay.h"

#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace carawaylink::load {

/// Plays one thread's share of the trace. All members run on the thread of the event loop.
class replay_driver {
public:
    replay_driver(boost::asio::io_context& context, const replay_settings& settings, const std::vector<trace_call>& calls,
        history_writer& writer, std::size_t index);
    ~replay_driver();
    replay_driver(const replay_driver&) = delete;
    replay_driver& operator=(const replay_driver&) = delete;

    /// Starts playing; onDone is called once, when the last call of this thread has ended.
    void start(monotonic_time origin, std::function<void()> onDone);
    /// Ends every open call.
    void abandon();

    const replay_totals& totals() const { return m_totals; }
    const std::map<std::uint8_t, latency_histogram>& tokenGaps() const { return m_gaps; }

private:
    struct active_call;
    struct team_state;
    using call_pointer = std::shared_ptr<active_call>;

    void scheduleNext();
    void playDue();
    void begin(std::size_t index);
    void proceed(const call_pointer& call);
    void closeUnsent(const call_pointer& call, std::string_view reason);
    void sendModelCall(const call_pointer& call);
    void sendPlainCall(const call_pointer& call);
    void addCallerHeaders(const active_call& call, http_request& request) const;
    http_call_options optionsFor(const active_call& call) const;
    void noteToken(active_call& call);
    void recordSent(const active_call& call);
    void modelDone(const call_pointer& call, const http_result& result);
    void plainDone(const call_pointer& call, const http_result& result);
    history_record outcomeOf(const active_call& call) const;
    void conclude(const call_pointer& call, history_record record);
    /// Time until the next attempt; nothing where the call has ended.
    std::optional<duration> retryDelay(active_call& call, const history_record& record);
    void finish(const call_pointer& call);
    void refreshEntry(team_state& team, std::size_t triesLeft);
    void entryDone(team_state& team, const std::string& address, const http_result& result, std::size_t triesLeft);
    void releaseWaiting(team_state& team);
    bool isPlain(const trace_call& call) const { return m_settings.plainServices.contains(call.service.value); }

    boost::asio::io_context& m_context;
    const replay_settings& m_settings;
    const std::vector<trace_call>& m_calls;
    history_writer& m_writer;
    http_client m_client;
    boost::asio::steady_timer m_timer;
    std::size_t m_next;
    monotonic_time m_origin;
    std::function<void()> m_onDone;
    bool m_abandoned = false;
    std::map<std::string, std::unique_ptr<team_state>> m_teams;
    std::unordered_set<call_pointer> m_open;
    std::map<std::uint8_t, latency_histogram> m_gaps;
    replay_totals m_totals;
};

} // namespace carawaylink::load
