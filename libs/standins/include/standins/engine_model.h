#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/prompt_blocks.h"
#include "base/random.h"
#include "standins/cache_event_feed.h"
#include "standins/fault_set.h"
#include "standins/lagged_value.h"
#include "standins/prefix_cache.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaylink {

struct engine_options {
    std::string model = "model";
    std::string generation = "g1";
    std::string version = "1";
    std::string role = "serve";
    /// Divides the time of every iteration.
    double speed = 1;
    double prefillTokensPerSecond = 8000;
    /// An iteration takes tokenTime + sequences * tokenTimePerSequence + prompt tokens / prefillTokensPerSecond.
    duration tokenTime = std::chrono::milliseconds(15);
    duration tokenTimePerSequence = std::chrono::microseconds(250);
    duration minimumIteration {};
    /// Prompt tokens that one iteration prefills at most.
    std::int64_t prefillChunk = 512;
    std::size_t maxRunning = 16;
    std::size_t maxWaiting = 10000;
    /// KV memory, shared by running sequences and cached prompt blocks.
    std::int64_t cacheTokens = 262144;
    /// How long the output of a finished request can be read again.
    duration keep = std::chrono::seconds(60);
    duration modelLoadTime = std::chrono::seconds(5);
    duration adapterLoadTime = std::chrono::milliseconds(500);
    /// Models in memory; loading one more drops the oldest.
    std::size_t maxModels = 2;
    double kvTransferTokensPerSecond = 200000;
    bool ignoresFencing = false;
    std::uint64_t seed = 1;
};

enum class engine_fault {
    leaving,
    refuse_new,
    slow_factor,
    pause,
    cut_streams_after_tokens,
    silent_connections,
    fail_share,
    report_lag_ms,
    event_delay_ms,
    event_gap_share,
    enforce_fencing,
};

inline constexpr std::array engineFaults {
    fault_definition { "leaving" },
    fault_definition { "refuse_new" },
    fault_definition { "slow_factor", fault_kind::number, 1, 0.001, 100000 },
    fault_definition { "pause" },
    fault_definition { "cut_streams_after_tokens", fault_kind::number, 0, 0, 1e9 },
    fault_definition { "silent_connections" },
    fault_definition { "fail_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "report_lag_ms", fault_kind::number, 0, 0, 60000 },
    fault_definition { "event_delay_ms", fault_kind::number, 0, 0, 600000 },
    fault_definition { "event_gap_share", fault_kind::number, 0, 0, 1 },
    fault_definition { "enforce_fencing", fault_kind::flag, 1 },
};

struct engine_request {
    std::string id;
    /// Each output token is "USER:INDEX ".
    std::string user;
    std::string prompt;
    std::int64_t maxTokens = 1;
    /// The answer has the form of chat completions.
    bool chat = false;
};

enum class order_kind {
    load_model,
    load_adapter,
    set_version,
    set_role,
};

inline constexpr auto orderKindNames = enumTable<order_kind>({
    { order_kind::load_model, "load_model" },
    { order_kind::load_adapter, "load_adapter" },
    { order_kind::set_version, "set_version" },
    { order_kind::set_role, "set_role" },
});

struct engine_order {
    order_kind kind = order_kind::load_model;
    std::string name;
    std::uint64_t fence = 0;
    std::string id;
};

enum class engine_event_kind {
    received,
    started,
    first_token,
    finished,
    cancelled,
    refused,
    leaving,
    /// Takes work again.
    live,
    order_admitted,
    order_refused,
    /// An order took effect.
    order,
    /// A load or a transfer ended; not written to the history.
    task_done,
};

inline constexpr auto engineEventNames = enumTable<engine_event_kind>({
    { engine_event_kind::received, "received" },
    { engine_event_kind::started, "started" },
    { engine_event_kind::first_token, "first_token" },
    { engine_event_kind::finished, "finished" },
    { engine_event_kind::cancelled, "cancelled" },
    { engine_event_kind::refused, "refused" },
    { engine_event_kind::leaving, "leaving" },
    { engine_event_kind::live, "live" },
    { engine_event_kind::order_admitted, "order_admitted" },
    { engine_event_kind::order_refused, "order_refused" },
    { engine_event_kind::order, "order" },
    { engine_event_kind::task_done, "task_done" },
});

struct engine_event {
    engine_event_kind kind;
    monotonic_time at;
    std::string request;
    std::string user;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t outputTokens = 0;
    /// Execution or task that the event belongs to.
    std::uint64_t number = 0;
    /// Reason of a refusal.
    std::string detail;
    /// Prompt tokens that were computed rather than found in the cache.
    std::int64_t prefilledTokens = 0;
    std::optional<engine_order> order;
};

enum class engine_refusal {
    none,
    leaving,
    refuse_new,
    failed,
    queue_full,
    too_long,
};

inline constexpr auto engineRefusalNames = enumTable<engine_refusal>({
    { engine_refusal::none, "none" },
    { engine_refusal::leaving, "leaving" },
    { engine_refusal::refuse_new, "refuse_new" },
    { engine_refusal::failed, "failed" },
    { engine_refusal::queue_full, "queue_full" },
    { engine_refusal::too_long, "too_long" },
});

/// One run of a request. A request id that is sent twice has two.
struct engine_execution {
    std::uint64_t number = 0;
    std::string request;
    std::string user;
    bool chat = false;
    prompt_blocks prompt;
    std::int64_t maxTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t cachedTokens = 0;
    /// Output tokens generated so far; token i is tokenText(execution, i).
    std::int64_t produced = 0;
    bool running = false;
    bool finished = false;
    bool cancelled = false;

    std::int64_t prefilled = 0;
    /// Prompt tokens that the current iteration prefills.
    std::int64_t planned = 0;
    bool inIteration = false;
    std::size_t usedBlocks = 0;
    std::size_t roomBlocks = 0;
    monotonic_time finishedAt;
};

std::string tokenText(const engine_execution& execution, std::int64_t index);

struct engine_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t kvUsed = 0;
    bool leaving = false;
};

/// A model engine with continuous batching, in virtual time. Every call first needs advance() to the same time; times never
/// decrease. Events are collected until takeEvents().
class engine_model {
public:
    engine_model(engine_options options, monotonic_time start);

    /// Runs all iterations and tasks that end by then.
    void advance(monotonic_time now);
    /// When advance() has something to do next; nothing while idle or paused.
    std::optional<monotonic_time> nextChange() const;
    std::vector<engine_event> takeEvents();

    struct submission {
        engine_refusal refusal = engine_refusal::none;
        std::shared_ptr<const engine_execution> execution;
    };
    submission submit(monotonic_time now, engine_request request);
    /// Ends an execution; returns false where it had ended already.
    bool cancel(monotonic_time now, const std::string& request);
    /// The newest execution of a request id; null where it is unknown, was cancelled or is no longer kept.
    std::shared_ptr<const engine_execution> find(const std::string& request) const;

    void leave(monotonic_time now);
    /// Throws error(invalid_argument).
    void applyFaults(monotonic_time now, std::string_view json);
    const fault_set& faults() const { return m_faults; }
    const engine_options& options() const { return m_options; }

    /// The load of report_lag_ms ago.
    engine_load load(monotonic_time now) const;
    cache_event_feed::page cacheEvents(monotonic_time now, std::uint64_t from, std::size_t limit) const;
    std::optional<monotonic_time> cacheEventVisibleAt(std::uint64_t from) const;

    /// Checks the fencing token and takes its number; returns false where it is stale.
    bool admitOrder(monotonic_time now, const engine_order& order);
    /// Starts an admitted order; a task_done event with the returned number ends it.
    std::uint64_t startOrder(monotonic_time now, const engine_order& order);
    std::uint64_t startExport(monotonic_time now, const std::vector<std::uint64_t>& hashes);
    std::uint64_t startImport(monotonic_time now, std::vector<std::uint64_t> hashes);
    /// Blocks out of the list that are cached.
    std::vector<std::uint64_t> cachedBlocks(const std::vector<std::uint64_t>& hashes) const;

    const std::vector<std::string>& models() const { return m_models; }
    const std::vector<std::string>& adapters() const { return m_adapters; }
    const std::string& version() const { return m_version; }
    const std::string& role() const { return m_role; }
    std::uint64_t fence() const { return m_fence; }

private:
    using execution_pointer = std::shared_ptr<engine_execution>;

    struct task {
        std::uint64_t number = 0;
        std::vector<std::uint64_t> importHashes;
        std::optional<engine_order> order;
    };

    void admitWaiting(monotonic_time at);
    void startIteration(monotonic_time at);
    void finishIteration(monotonic_time at);
    void finishTask(monotonic_time at, const task& ended);
    void finishPrefill(engine_execution& execution);
    void releaseMemory(engine_execution& execution);
    void forgetExpired(monotonic_time now);
    void recordLoad(monotonic_time at);
    void emit(engine_event_kind kind, monotonic_time at, const engine_execution& execution);
    void emitOrder(engine_event_kind kind, monotonic_time at, const engine_order& order);
    std::uint64_t addTask(monotonic_time due, task added);
    bool drawn(engine_fault share);

    engine_options m_options;
    fault_set m_faults;
    random_source m_random;
    monotonic_time m_now;
    std::optional<monotonic_time> m_pausedAt;

    cache_event_feed m_cacheFeed;
    prefix_cache m_cache;
    std::deque<execution_pointer> m_waiting;
    /// In order of admission.
    std::vector<execution_pointer> m_running;
    std::optional<monotonic_time> m_iterationEnd;
    std::unordered_map<std::string, execution_pointer> m_byRequest;
    std::deque<execution_pointer> m_finished;
    std::multimap<monotonic_time, task> m_tasks;
    std::uint64_t m_nextExecution = 1;
    std::uint64_t m_nextTask = 1;

    std::vector<std::string> m_models;
    std::vector<std::string> m_adapters;
    std::string m_version;
    std::string m_role;
    std::uint64_t m_fence = 0;

    lagged_value<engine_load> m_load;
    std::vector<engine_event> m_events;
};

} // namespace carawaylink
