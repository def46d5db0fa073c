#include "standins/engine_model.h"

#include "base/error.h"

#include <algorithm>
#include <charconv>

namespace carawaylink {

namespace {

constexpr std::size_t cacheFeedCapacity = 65536;
/// The largest report_lag_ms plus a margin.
constexpr auto loadHistory = std::chrono::seconds(61);
constexpr auto loadResolution = std::chrono::milliseconds(1);

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

duration milliseconds(double value)
{
    return seconds(value / 1000);
}

/// The number in a prompt word "output_tokens=N".
std::optional<std::int64_t> requestedOutput(std::string_view prompt)
{
    constexpr std::string_view key = "output_tokens=";
    for (auto at = prompt.find(key); at != std::string_view::npos; at = prompt.find(key, at + 1)) {
        if (at > 0 && std::string_view(" \n\t\r").find(prompt[at - 1]) == std::string_view::npos)
            continue;
        std::int64_t value = 0;
        const auto* const first = prompt.data() + at + key.size();
        if (std::from_chars(first, prompt.data() + prompt.size(), value).ec == std::errc())
            return value;
    }
    return std::nullopt;
}

std::size_t blocksFor(std::int64_t count)
{
    return static_cast<std::size_t>((count + tokensPerBlock - 1) / tokensPerBlock);
}

} // namespace

std::string tokenText(const engine_execution& execution, std::int64_t index)
{
    return execution.user + ":" + std::to_string(index) + " ";
}

engine_model::engine_model(engine_options options, monotonic_time start)
    : m_options(std::move(options))
    , m_faults(engineFaults)
    , m_random(m_options.seed)
    , m_now(start)
    , m_cacheFeed(cacheFeedCapacity)
    , m_cache(static_cast<std::size_t>(m_options.cacheTokens / tokensPerBlock),
          [this](std::uint64_t hash, bool stored) { m_cacheFeed.record(m_now, hash, stored, drawn(engine_fault::event_gap_share)); })
    , m_models { m_options.model }
    , m_version(m_options.version)
    , m_role(m_options.role)
    , m_load(loadHistory, loadResolution)
{
    m_faults.set(engine_fault::enforce_fencing, m_options.ignoresFencing ? 0 : 1);
    recordLoad(start);
}

void engine_model::advance(monotonic_time now)
{
    if (m_pausedAt)
        return;
    while (true) {
        const bool taskFirst = !m_tasks.empty() && (!m_iterationEnd || m_tasks.begin()->first < *m_iterationEnd);
        if (taskFirst && m_tasks.begin()->first <= now) {
            const auto node = m_tasks.extract(m_tasks.begin());
            m_now = std::max(m_now, node.key());
            finishTask(m_now, node.mapped());
        } else if (m_iterationEnd && *m_iterationEnd <= now) {
            m_now = std::max(m_now, *m_iterationEnd);
            finishIteration(m_now);
            startIteration(m_now);
        } else {
            break;
        }
    }
    m_now = std::max(m_now, now);
    forgetExpired(now);
}

std::optional<monotonic_time> engine_model::nextChange() const
{
    if (m_pausedAt)
        return std::nullopt;
    auto next = m_iterationEnd;
    if (!m_tasks.empty())
        next = next ? std::min(*next, m_tasks.begin()->first) : m_tasks.begin()->first;
    return next;
}

std::vector<engine_event> engine_model::takeEvents()
{
    return std::exchange(m_events, {});
}

engine_model::submission engine_model::submit(monotonic_time now, engine_request request)
{
    auto execution = std::make_shared<engine_execution>();
    execution->number = m_nextExecution++;
    execution->prompt = splitPrompt(request.prompt);
    execution->user = request.user.empty() ? request.id : std::move(request.user);
    execution->request = std::move(request.id);
    execution->chat = request.chat;
    execution->maxTokens = std::max<std::int64_t>(1, request.maxTokens);
    execution->outputTokens
        = std::clamp<std::int64_t>(requestedOutput(request.prompt).value_or(execution->maxTokens), 1, execution->maxTokens);
    emit(engine_event_kind::received, now, *execution);

    const auto refusal = [&] {
        if (m_faults.on(engine_fault::leaving))
            return engine_refusal::leaving;
        if (m_faults.on(engine_fault::refuse_new))
            return engine_refusal::refuse_new;
        if (drawn(engine_fault::fail_share))
            return engine_refusal::failed;
        if (blocksFor(execution->prompt.count.value + execution->outputTokens) > m_cache.capacity())
            return engine_refusal::too_long;
        return m_waiting.size() >= m_options.maxWaiting ? engine_refusal::queue_full : engine_refusal::none;
    }();
    if (refusal != engine_refusal::none) {
        emit(engine_event_kind::refused, now, *execution);
        m_events.back().detail = engineRefusalNames.name(refusal);
        return { refusal, nullptr };
    }
    m_waiting.push_back(execution);
    m_byRequest[execution->request] = execution;
    if (!m_iterationEnd && !m_pausedAt)
        startIteration(now);
    recordLoad(now);
    return { engine_refusal::none, execution };
}

bool engine_model::cancel(monotonic_time now, const std::string& request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end() || found->second->finished)
        return false;
    const auto execution = found->second;
    m_byRequest.erase(found);
    std::erase(m_waiting, execution);
    if (execution->running) {
        std::erase(m_running, execution);
        releaseMemory(*execution);
        execution->running = false;
    }
    execution->cancelled = true;
    emit(engine_event_kind::cancelled, now, *execution);
    recordLoad(now);
    return true;
}

std::shared_ptr<const engine_execution> engine_model::find(const std::string& request) const
{
    const auto found = m_byRequest.find(request);
    return found == m_byRequest.end() ? nullptr : found->second;
}

void engine_model::leave(monotonic_time now)
{
    applyFaults(now, R"({"leaving":true})");
}

void engine_model::applyFaults(monotonic_time now, std::string_view json)
{
    const bool wasLeaving = m_faults.on(engine_fault::leaving);
    m_faults.apply(json);
    if (m_faults.on(engine_fault::leaving) != wasLeaving) {
        m_events.push_back({ wasLeaving ? engine_event_kind::live : engine_event_kind::leaving, now });
        recordLoad(now);
    }
    const bool pause = m_faults.on(engine_fault::pause);
    if (pause && !m_pausedAt) {
        m_pausedAt = now;
    } else if (!pause && m_pausedAt) {
        // Work goes on where it stopped; the time of the pause is not caught up.
        const auto paused = now - *m_pausedAt;
        if (m_iterationEnd)
            *m_iterationEnd += paused;
        std::multimap<monotonic_time, task> shifted;
        for (auto& [due, waiting] : m_tasks)
            shifted.emplace(due + paused, std::move(waiting));
        m_tasks = std::move(shifted);
        m_pausedAt.reset();
        if (!m_iterationEnd)
            startIteration(now);
    }
}

engine_load engine_model::load(monotonic_time now) const
{
    return m_load.read(now - milliseconds(m_faults.number(engine_fault::report_lag_ms)));
}

cache_event_feed::page engine_model::cacheEvents(monotonic_time now, std::uint64_t from, std::size_t limit) const
{
    return m_cacheFeed.read(now, from, limit, milliseconds(m_faults.number(engine_fault::event_delay_ms)));
}

std::optional<monotonic_time> engine_model::cacheEventVisibleAt(std::uint64_t from) const
{
    return m_cacheFeed.visibleAt(from, milliseconds(m_faults.number(engine_fault::event_delay_ms)));
}

bool engine_model::admitOrder(monotonic_time now, const engine_order& order)
{
    const bool stale = order.fence < m_fence;
    const bool admitted = !stale || !m_faults.on(engine_fault::enforce_fencing);
    m_fence = std::max(m_fence, order.fence);
    emitOrder(admitted ? engine_event_kind::order_admitted : engine_event_kind::order_refused, now, order);
    if (!admitted)
        m_events.back().detail = "stale_fence";
    return admitted;
}

std::uint64_t engine_model::startOrder(monotonic_time now, const engine_order& order)
{
    duration time {};
    if (order.kind == order_kind::load_model)
        time = m_options.modelLoadTime;
    else if (order.kind == order_kind::load_adapter)
        time = m_options.adapterLoadTime;
    return addTask(now + time, { 0, {}, order });
}

std::uint64_t engine_model::startExport(monotonic_time now, const std::vector<std::uint64_t>& hashes)
{
    const auto transferred = static_cast<double>(cachedBlocks(hashes).size()) * static_cast<double>(tokensPerBlock);
    return addTask(now + seconds(transferred / m_options.kvTransferTokensPerSecond), {});
}

std::uint64_t engine_model::startImport(monotonic_time now, std::vector<std::uint64_t> hashes)
{
    const auto transferred = static_cast<double>(hashes.size()) * static_cast<double>(tokensPerBlock);
    return addTask(now + seconds(transferred / m_options.kvTransferTokensPerSecond), { 0, std::move(hashes), std::nullopt });
}

std::vector<std::uint64_t> engine_model::cachedBlocks(const std::vector<std::uint64_t>& hashes) const
{
    std::vector<std::uint64_t> cached;
    std::ranges::copy_if(hashes, std::back_inserter(cached), [this](auto hash) { return m_cache.contains(hash); });
    return cached;
}

void engine_model::admitWaiting(monotonic_time at)
{
    while (!m_waiting.empty() && m_running.size() < m_options.maxRunning) {
        auto& execution = *m_waiting.front();
        const std::span hashes(execution.prompt.hashes);
        auto hits = m_cache.match(hashes);
        // The logits of the last prompt token are needed, so a prompt that is cached as a whole recomputes its last block.
        if (hits > 0 && static_cast<std::int64_t>(hits) * tokensPerBlock >= execution.prompt.count.value)
            --hits;
        const auto other = blocksFor(execution.prompt.count.value + execution.outputTokens) - hits;
        if (!m_cache.acquire(hashes.first(hits), other))
            break;
        execution.usedBlocks = hits;
        execution.roomBlocks = other;
        execution.cachedTokens = static_cast<std::int64_t>(hits) * tokensPerBlock;
        execution.prefilled = execution.cachedTokens;
        execution.running = true;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        emit(engine_event_kind::started, at, *m_running.back());
    }
}

void engine_model::startIteration(monotonic_time at)
{
    admitWaiting(at);
    recordLoad(at);
    if (m_running.empty()) {
        m_iterationEnd.reset();
        return;
    }
    auto budget = m_options.prefillChunk;
    std::int64_t generating = 0;
    for (const auto& execution : m_running) {
        execution->inIteration = true;
        execution->planned = std::min(budget, execution->prompt.count.value - execution->prefilled);
        budget -= execution->planned;
        if (execution->prefilled + execution->planned == execution->prompt.count.value)
            ++generating;
    }
    const auto prefill = seconds(static_cast<double>(m_options.prefillChunk - budget) / m_options.prefillTokensPerSecond);
    const auto work = m_options.tokenTime + generating * m_options.tokenTimePerSequence + prefill;
    const auto scaled = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(work) * (m_faults.number(engine_fault::slow_factor) / m_options.speed));
    m_iterationEnd = at + std::max(scaled, m_options.minimumIteration);
}

void engine_model::finishIteration(monotonic_time at)
{
    std::vector<execution_pointer> left;
    for (auto& execution : m_running) {
        if (!execution->inIteration) {
            left.push_back(execution);
            continue;
        }
        execution->prefilled += execution->planned;
        execution->planned = 0;
        execution->inIteration = false;
        if (execution->prefilled == execution->prompt.count.value) {
            if (execution->produced++ == 0) {
                finishPrefill(*execution);
                emit(engine_event_kind::first_token, at, *execution);
            }
        }
        if (execution->produced < execution->outputTokens) {
            left.push_back(execution);
            continue;
        }
        releaseMemory(*execution);
        execution->running = false;
        execution->finished = true;
        execution->finishedAt = at;
        emit(engine_event_kind::finished, at, *execution);
        m_finished.push_back(execution);
    }
    m_running = std::move(left);
    m_iterationEnd.reset();
}

void engine_model::finishTask(monotonic_time at, const task& ended)
{
    std::ranges::for_each(ended.importHashes, [this](auto hash) { m_cache.import(hash); });
    if (ended.order) {
        const auto& name = ended.order->name;
        switch (ended.order->kind) {
        case order_kind::load_model:
            std::erase(m_models, name);
            m_models.insert(m_models.begin(), name);
            m_models.resize(std::min(m_models.size(), std::max<std::size_t>(1, m_options.maxModels)));
            break;
        case order_kind::load_adapter:
            if (std::ranges::find(m_adapters, name) == m_adapters.end())
                m_adapters.push_back(name);
            break;
        case order_kind::set_version:
            m_version = name;
            break;
        case order_kind::set_role:
            m_role = name;
            break;
        }
        emitOrder(engine_event_kind::order, at, *ended.order);
    }
    engine_event event { engine_event_kind::task_done, at };
    event.number = ended.number;
    m_events.push_back(std::move(event));
}

void engine_model::finishPrefill(engine_execution& execution)
{
    const auto& hashes = execution.prompt.hashes;
    for (auto i = execution.usedBlocks; i < hashes.size(); ++i)
        m_cache.store(hashes[i]);
    execution.roomBlocks -= hashes.size() - execution.usedBlocks;
    execution.usedBlocks = hashes.size();
}

void engine_model::releaseMemory(engine_execution& execution)
{
    m_cache.release(std::span(execution.prompt.hashes).first(execution.usedBlocks), execution.roomBlocks);
    execution.usedBlocks = 0;
    execution.roomBlocks = 0;
    // Kept executions would otherwise hold up to 2 KB of hashes each.
    execution.prompt.hashes = {};
}

void engine_model::forgetExpired(monotonic_time now)
{
    while (!m_finished.empty() && m_finished.front()->finishedAt + m_options.keep < now) {
        const auto& expired = m_finished.front();
        if (const auto found = m_byRequest.find(expired->request); found != m_byRequest.end() && found->second == expired)
            m_byRequest.erase(found);
        m_finished.pop_front();
    }
}

void engine_model::recordLoad(monotonic_time at)
{
    m_load.push(at,
        { m_running.size(), m_waiting.size(), static_cast<std::int64_t>(m_cache.used()) * tokensPerBlock,
            m_faults.on(engine_fault::leaving) });
}

void engine_model::emit(engine_event_kind kind, monotonic_time at, const engine_execution& execution)
{
    m_events.push_back({ kind, at, execution.request, execution.user, execution.prompt.count.value, execution.cachedTokens,
        execution.produced, execution.number, {}, execution.prefilled - execution.cachedTokens });
}

void engine_model::emitOrder(engine_event_kind kind, monotonic_time at, const engine_order& order)
{
    engine_event event { kind, at };
    event.order = order;
    m_events.push_back(std::move(event));
}

std::uint64_t engine_model::addTask(monotonic_time due, task added)
{
    added.number = m_nextTask++;
    return m_tasks.emplace(due, std::move(added))->second.number;
}

bool engine_model::drawn(engine_fault share)
{
    const double limit = m_faults.number(share);
    return limit > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < limit;
}

} // namespace carawaylink
