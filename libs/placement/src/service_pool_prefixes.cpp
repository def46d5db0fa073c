#include "placement/service_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace carawaylink::placement {

namespace {

// The time to the first event is attributed to the request's own prompt if the prefill queued before it is at most this fraction of its
// own.
constexpr double maxQueuedFraction = 0.1;
// Two responses in progress that lose their connection to an endpoint within this time show a crash; a single one may have been cut off.
constexpr auto crashInterval = std::chrono::seconds(1);

} // namespace

tokens service_pool::heldTokens(const endpoint_state& endpoint, const waiting_request& request)
{
    if (request.promptParts.empty() || !endpoint.prefixes)
        return tokens { 0 };
    return std::min(endpoint.prefixes->kept(request.promptParts), request.prompt);
}

tokens service_pool::believedTokens(const endpoint_state& endpoint, const waiting_request& request)
{
    const double weight = endpoint.reuseCheck.weight();
    if (request.promptParts.empty() || weight == 0)
        return tokens { 0 };
    return tokens { std::llround(weight * static_cast<double>(heldTokens(endpoint, request).value)) };
}

// The tokens after the kept ones are those with the longest context, so each costs more than the mean.
tokens service_pool::uncachedWork(tokens prompt, tokens kept) const
{
    const auto all = m_prefillCost.work(prompt);
    return kept.value == 0 ? all : tokens { all.value - m_prefillCost.work(kept).value };
}

// A request must not wait, or be ordered before others, because of an endpoint that is full now.
tokens service_pool::fastestWork(const endpoint_state& endpoint, const waiting_request& request, monotonic_time now) const
{
    const bool mayReuse = !request.promptParts.empty() && endpoint.prefixes && hasCapacity(endpoint, request, now);
    return uncachedWork(request.prompt, mayReuse ? believedTokens(endpoint, request) : tokens { 0 });
}

void service_pool::updateModels(endpoint_state& endpoint, const running_request& running, duration elapsed)
{
    const auto work = plausibleWork(endpoint, running, elapsed);
    auto& model = endpoint.model;
    const bool isOwnPrefill = maxQueuedFraction * static_cast<double>(work.value) > static_cast<double>(running.queuedPrefill.value);
    if (isOwnPrefill && work == m_prefillCost.work(running.prompt) && model.combined().samples > 0)
        m_prefillCost.recordSample(running.prompt, model.prefilledTokens(elapsed));
    model.recordFirstEvent(running.queuedPrefill, work, elapsed);
}

duration service_pool::expectedWithoutReuse(const running_request& running) const
{
    const auto saved = m_prefillCost.work(running.prompt).value - running.work.value;
    const auto found = m_endpoints.find(running.replica);
    if (saved <= 0 || found == m_endpoints.end())
        return running.expectedFirstEvent;
    return running.expectedFirstEvent + found->second.model.prefillTime(tokens { saved });
}

// A wrong assumption on reuse would make the endpoint look several times faster or slower than it is.
tokens service_pool::plausibleWork(endpoint_state& endpoint, const running_request& running, duration elapsed)
{
    if (running.kept.value == 0)
        return running.work;
    const auto all = m_prefillCost.work(running.prompt);
    const auto rest = uncachedWork(running.prompt, running.kept);
    const auto withoutReuse = expectedWithoutReuse(running);
    const auto withReuse = withoutReuse - endpoint.model.prefillTime(tokens { all.value - rest.value });
    const auto isFound = endpoint.reuseCheck.record(elapsed, withReuse, withoutReuse);
    if (!isFound)
        return elapsed > withoutReuse ? all : running.work;
    m_reuse.predicted += running.kept.value;
    m_reuse.found += *isFound ? running.kept.value : 0;
    return *isFound ? rest : all;
}

tokens service_pool::prefixCapacity(const endpoint_state& endpoint) const
{
    return tokens { std::max<std::int64_t>(m_limits.memory.value_or(tokens { 0 }).value - endpoint.load.memory.value, 0) };
}

void service_pool::addPrefixes(endpoint_state& endpoint, const prompt_parts& parts) const
{
    if (parts.empty() || !m_limits.memory)
        return;
    if (!endpoint.prefixes)
        endpoint.prefixes = std::make_unique<prefix_belief>();
    endpoint.prefixes->add(parts, prefixCapacity(endpoint));
}

void service_pool::addPrefixes(endpoint_state& endpoint, const running_request& running) const
{
    if (running.memoryLosses == endpoint.memoryLosses)
        addPrefixes(endpoint, running.promptParts);
}

void service_pool::recordAnswered(const replica_id& replica, std::int64_t startedAtMs, const prompt_parts& parts)
{
    const auto found = m_endpoints.find(replica);
    if (found != m_endpoints.end() && found->second.isListed && found->second.record.startedAtMs == startedAtMs)
        addPrefixes(found->second, parts);
}

void service_pool::forgetPrefixes(endpoint_state& endpoint)
{
    endpoint.prefixes.reset();
    ++endpoint.memoryLosses;
}

void service_pool::forgetAfter(outcome result, endpoint_state& endpoint, const running_request& running, monotonic_time now)
{
    if (result == outcome::broken) {
        const auto previous = std::exchange(endpoint.brokenAt, now);
        const bool isRepeated = previous && now - *previous < crashInterval;
        if (!running.firstEventAt || isRepeated)
            forgetPrefixes(endpoint);
    } else if (result == outcome::unreachable || result == outcome::replaced) {
        forgetPrefixes(endpoint);
    }
}

std::size_t service_pool::prefixBytes() const
{
    return std::accumulate(m_endpoints.begin(), m_endpoints.end(), std::size_t { 0 }, [](std::size_t total, const auto& entry) {
        const auto& prefixes = entry.second.prefixes;
        return total + (prefixes ? sizeof(prefix_belief) + prefixes->bytes() : 0);
    });
}

} // namespace carawaylink::placement
