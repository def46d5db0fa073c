#include "dispatch_control.h"
#include "wire_values.h"

#include <algorithm>

namespace carawaylink {

scheduling_request toSchedulingRequest(const dispatch_request& request, const node_id& home)
{
    return { request.id, home, request.team, request.level, request.promptTokens, request.maxOutputTokens, request.arrival,
        request.deadline, request.nonIdempotent, request.prefixBlocks };
}

wire::slot_requestT encodeSlotRequest(const dispatch_request& request, const pool_id& pool, monotonic_time now)
{
    wire::slot_requestT message;
    message.request = encodeKey(request.id);
    message.service = request.service.value;
    message.team = request.team.value;
    message.tier = request.level.value;
    message.prompt_tokens = request.promptTokens.value;
    message.max_output_tokens = request.maxOutputTokens.value;
    message.deadline_in_ms = encodeMilliseconds(request.deadline - now);
    message.waited_ms = encodeMilliseconds(now - request.arrival);
    message.non_idempotent = request.nonIdempotent;
    message.prefix_blocks = request.prefixBlocks;
    message.pool = pool.number;
    return message;
}

scheduling_request decodeSlotRequest(const wire::slot_requestT& message, const node_id& home, monotonic_time now)
{
    scheduling_request request;
    request.id = decodeKey(message.request);
    request.home = home;
    request.team = team_id(message.team);
    request.level = tier(message.tier);
    request.promptTokens = tokens(std::max<std::int64_t>(0, message.prompt_tokens));
    request.maxOutputTokens = tokens(std::max<std::int64_t>(0, message.max_output_tokens));
    request.arrival = now - std::chrono::milliseconds(message.waited_ms);
    request.deadline = now + std::chrono::milliseconds(message.deadline_in_ms);
    request.nonIdempotent = message.non_idempotent;
    request.prefixBlocks = message.prefix_blocks;
    return request;
}

void dispatch_control::reportRelease(monotonic_time now, const pending_request& entry, const slot_release& release)
{
    if (m_direct || !entry.owner)
        return;
    if (*entry.owner == m_self.node) {
        m_poolManager.release(now, release);
        return;
    }
    wire::slot_releaseT message;
    message.request = encodeKey(release.request);
    message.outcome = releaseOutcomeNames.name(release.outcome);
    message.prompt_tokens = release.promptTokens.value;
    message.cached_tokens = release.cachedTokens.value;
    message.output_tokens = release.outputTokens.value;
    message.first_token_ms = encodeMilliseconds(release.timeToFirstToken);
    message.duration_ms = encodeMilliseconds(release.total);
    message.endpoint_leaving = release.endpointLeaving;
    m_mesh.send(*entry.owner, std::move(message));
}

void dispatch_control::returnSlot(monotonic_time now, const node_id& owner, const request_id& request, bool leaving)
{
    pending_request entry;
    entry.owner = owner;
    slot_release unused;
    unused.request = request;
    unused.outcome = release_outcome::unused;
    unused.endpointLeaving = leaving;
    reportRelease(now, entry, unused);
}

void dispatch_control::handleOwnerConnected(monotonic_time now, const node_id& owner)
{
    for (const auto& [service, pools] : m_poolOwners) {
        for (const auto& [pool, poolOwnerNode] : pools) {
            if (poolOwnerNode == owner)
                sendSync(now, owner, pool);
        }
    }
}

void dispatch_control::sendSync(monotonic_time now, const node_id& owner, const pool_id& pool)
{
    if (m_direct)
        return;
    if (owner == m_self.node) {
        std::vector<scheduling_request> waiting;
        std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> outstanding;
        for (const auto& [id, entry] : m_pending) {
            if (entry.pool != pool)
                continue;
            if (entry.currentStage == stage::waiting)
                waiting.push_back(toSchedulingRequest(entry.request, m_self.node));
            else
                outstanding.emplace_back(
                    toSchedulingRequest(entry.request, m_self.node), entry.endpoint, tokens(entry.request.progress->outputTokens));
        }
        m_poolManager.sync(now, m_self.node, pool, std::move(waiting), std::move(outstanding), true);
        return;
    }
    // The list is split so that each frame stays below the size limit even with many long prefixes.
    constexpr std::size_t maxEntriesPerFrame = 128;
    wire::pool_syncT message;
    message.service = pool.service.value;
    message.pool = pool.number;
    for (auto& [id, entry] : m_pending) {
        if (entry.pool != pool)
            continue;
        auto encoded = std::make_unique<wire::slot_requestT>(encodeSlotRequest(entry.request, pool, now));
        if (entry.currentStage == stage::waiting) {
            entry.sent = now;
            message.waiting.push_back(std::move(encoded));
        } else {
            auto slot = std::make_unique<wire::outstanding_slotT>();
            slot->request = std::move(encoded);
            slot->endpoint = entry.endpoint.value;
            slot->output_tokens = entry.request.progress->outputTokens;
            message.outstanding.push_back(std::move(slot));
        }
        if (message.waiting.size() + message.outstanding.size() >= maxEntriesPerFrame) {
            message.more = true;
            m_mesh.send(owner, std::move(message));
            message = {};
            message.service = pool.service.value;
            message.pool = pool.number;
        }
    }
    m_mesh.send(owner, std::move(message));
}

void dispatch_control::reportProgress()
{
    if (m_direct)
        return;
    std::map<node_id, std::vector<slot_progress>> byOwner;
    for (const auto& [id, entry] : m_pending) {
        if (entry.currentStage == stage::waiting || !entry.owner)
            continue;
        const auto& progress = *entry.request.progress;
        byOwner[*entry.owner].push_back(
            { id, tokens(progress.outputTokens), std::chrono::microseconds(progress.firstTokenMicroseconds.load()) });
    }
    // An owner without remaining requests of this home gets one empty report, in case a release message was lost.
    for (const auto& owner : std::exchange(m_reportedOwners, {}))
        byOwner.try_emplace(owner);
    const auto now = std::chrono::steady_clock::now();
    for (auto& [owner, entries] : byOwner) {
        if (!entries.empty())
            m_reportedOwners.insert(owner);
        if (owner == m_self.node) {
            m_poolManager.handleProgress(now, owner, entries);
            continue;
        }
        wire::slot_progressT message;
        for (const auto& entry : entries) {
            auto encoded = std::make_unique<wire::slot_progress_entryT>();
            encoded->request = encodeKey(entry.request);
            encoded->output_tokens = entry.outputTokens.value;
            encoded->first_token_ms = encodeMilliseconds(entry.timeToFirstToken);
            message.entries.push_back(std::move(encoded));
        }
        m_mesh.send(owner, std::move(message));
    }
}

} // namespace carawaylink
