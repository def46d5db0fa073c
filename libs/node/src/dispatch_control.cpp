#include "dispatch_control.h"

#include "base/error.h"
#include "base/log.h"
#include "wire_values.h"

#include <algorithm>
#include <xxhash.h>

namespace carawaylink {

namespace {

// A waiting request is sent to its owner again after this interval, since the request or its grant may have been lost.
constexpr auto resendInterval = std::chrono::seconds(2);
constexpr auto rejectedRetryDelay = std::chrono::milliseconds(100);
// Owners respond before the deadline. If no response has arrived this long after it, the response is considered lost.
constexpr auto deadlineGracePeriod = std::chrono::milliseconds(250);
// Limits of the stored results of requests with tickets; the oldest are dropped first. The bytes are those of response bodies.
constexpr std::size_t maxTicketRecords = 65536;
constexpr std::size_t maxTicketRecordBytes = 16U << 20;

refusal notExecuted(unsigned status, std::string type, std::string message, std::string remedy, duration retryAfter = {})
{
    return { status, std::move(type), std::move(message), ran_state::no, std::move(remedy), retryAfter };
}

refusal unknownOutcome(std::string message)
{
    return { 503, "unknown_result", std::move(message), ran_state::unknown,
        "check whether the request took effect before sending it with a new ticket", {} };
}

refusal toRefusal(const slot_refusal& refused)
{
    const bool overload = refused.reason != refusal_reason::no_endpoint && refused.reason != refusal_reason::unavailable;
    return notExecuted(overload ? 429 : 503, std::string(refusalReasonNames.name(refused.reason)), refused.message,
        "send the request again after retry_after_ms, with a later deadline or fewer tokens", refused.retryAfter);
}

bool isCapacityReason(refusal_reason reason)
{
    return reason == refusal_reason::deadline_unreachable || reason == refusal_reason::queue_full || reason == refusal_reason::displaced
        || reason == refusal_reason::no_endpoint;
}

} // namespace

dispatch_control::dispatch_control(
    process_identity self, pool_manager& poolManager, peer_mesh& mesh, ticket_service& tickets, history& eventHistory)
    : m_self(std::move(self))
    , m_poolManager(poolManager)
    , m_mesh(mesh)
    , m_tickets(tickets)
    , m_history(eventHistory)
    , m_view(std::make_shared<const fleet_view>())
{
}

dispatch_control::~dispatch_control() = default;

std::size_t dispatch_control::dispatchedRequests() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_pending, [](const auto& entry) { return entry.second.currentStage == stage::dispatched; }));
}

void dispatch_control::update(monotonic_time now, std::shared_ptr<const fleet_view> view, const endpoint_directory& directory)
{
    m_view = std::move(view);
    const auto before = std::move(m_poolOwners);
    m_poolOwners.clear();
    for (const auto& [id, endpoints] : computePools(*m_view, directory))
        m_poolOwners[id.service].emplace_back(id, poolOwner(id, m_view->members));
    for (const auto& [service, pools] : m_poolOwners) {
        const auto previous = before.find(service);
        for (const auto& pool : pools) {
            const bool same = previous != before.end() && std::ranges::find(previous->second, pool) != previous->second.end();
            if (same || !pool.second)
                continue;
            for (auto& [id, entry] : m_pending) {
                if (entry.pool == pool.first)
                    entry.owner = pool.second;
            }
            sendSync(now, *pool.second, pool.first);
        }
    }
}

void dispatch_control::acquire(monotonic_time now, dispatch_request request, dispatch_callback callback)
{
    if (request.ticket.empty())
        enqueue(now, std::move(request), std::move(callback), std::nullopt);
    else
        acquireWithTicket(now, std::move(request), std::move(callback));
}

void dispatch_control::acquireWithTicket(monotonic_time now, dispatch_request request, dispatch_callback callback)
{
    ticket value;
    try {
        value = m_tickets.open(request.ticket);
    } catch (const error& failure) {
        callback(notExecuted(400, "invalid_ticket", failure.message(), "use a ticket exactly as returned by GET /v1/entry?tickets=1"));
        return;
    }
    if (value.home != m_self) {
        acquireFromOtherHome(value, request, std::move(callback));
        return;
    }
    const auto result = m_tickets.home().claimTicket(now, value, request.id);
    switch (result.result) {
    case claim_result::granted:
        enqueue(now, std::move(request), std::move(callback), value);
        break;
    case claim_result::attach:
        attach(result, value, std::move(callback));
        break;
    case claim_result::closed:
        callback(notExecuted(409, "ticket_closed", "the ticket was closed before its request was executed",
            "get a new ticket from GET /v1/entry?tickets=1"));
        break;
    case claim_result::unknown:
    case claim_result::foreign:
        callback(unknownOutcome("the ticket's home node has no record of the ticket"));
        break;
    }
}

void dispatch_control::attach(const claim& holder, const ticket& value, dispatch_callback callback)
{
    const auto pending = m_pending.find(holder.holder);
    if (pending != m_pending.end()) {
        auto& entry = pending->second;
        if (entry.currentStage == stage::dispatched && !entry.request.plainService)
            callback(attach_to_stream { holder.holder, entry.endpoint });
        else
            entry.attachedCallbacks.push_back(std::move(callback));
        return;
    }
    const auto record = m_records.find(value);
    if (record == m_records.end())
        callback(unknownOutcome("the response to the earlier request with this ticket is no longer stored"));
    else if (!record->second.plainService)
        callback(attach_to_stream { record->second.holder, record->second.endpoint });
    else if (record->second.response)
        callback(*record->second.response);
    else
        callback(unknownOutcome("the service's response to the earlier request with this ticket was lost"));
}

void dispatch_control::acquireFromOtherHome(const ticket& value, const dispatch_request& request, dispatch_callback callback)
{
    const auto home = std::ranges::find(m_view->members, value.home.node, &member_update::node);
    const bool homeAlive = home != m_view->members.end() && home->run == value.home.run && home->state == member_state::alive;
    // A home that is unreachable from this node may still be alive. The query closes the ticket at the witness, which then refuses any
    // later intent of that home.
    if (homeAlive && !request.forwarded && !request.homeUnreachable) {
        callback(forward_to_home { home->httpAddress });
        return;
    }
    m_tickets.queryWitness(
        value, request.ticket, [callback = std::move(callback), plain = request.plainService](const witness_answer& answer) {
            switch (answer.state) {
            case witness_state::closed:
                callback(notExecuted(409, "ticket_closed", "the ticket's home node is unavailable and the request was not executed",
                    "get a new ticket from GET /v1/entry?tickets=1"));
                break;
            case witness_state::intent:
                if (plain)
                    callback(unknownOutcome("the ticket's home node is unavailable and may have sent the request to the service"));
                else
                    callback(attach_to_stream { answer.request, answer.endpoint });
                break;
            case witness_state::unknown:
                callback(unknownOutcome("neither the ticket's home node nor its witness knows whether the request was executed"));
                break;
            }
        });
}

void dispatch_control::enqueue(
    monotonic_time now, dispatch_request request, dispatch_callback callback, std::optional<ticket> claimedTicket)
{
    const auto id = request.id;
    auto& entry = m_pending[id];
    entry.request = std::move(request);
    entry.callback = std::move(callback);
    entry.claimedTicket = std::move(claimedTicket);
    if (m_direct) {
        const auto endpoint = m_direct(entry.request.service);
        if (!endpoint) {
            refuse(
                id, notExecuted(503, "no_endpoint", "no endpoint of the service is known", "check the list of vms and GET /admin/status"));
            return;
        }
        entry.endpoint = *endpoint;
        permit(entry);
        return;
    }
    choosePool(entry);
    if (!entry.owner) {
        refuse(id,
            notExecuted(503, "no_owner", "no node owns the service's pool yet", "send the request again", std::chrono::milliseconds(200)));
        return;
    }
    sendRequest(now, entry);
}

// Requests with the same first prefix block are assigned to the same pool, so that they hit the prefix caches of its engines.
void dispatch_control::choosePool(pending_request& entry)
{
    const auto found = m_poolOwners.find(entry.request.service);
    if (found == m_poolOwners.end() || found->second.empty()) {
        entry.owner.reset();
        return;
    }
    const auto& pools = found->second;
    const auto& blocks = entry.request.prefixBlocks;
    const std::uint64_t seed = blocks.empty() ? entry.request.id.sequence : blocks.front();
    const auto first = XXH3_64bits(&seed, sizeof(seed)) % pools.size();
    const auto chosen = entry.redirected && pools.size() > 1 ? (first + 1 + seed % (pools.size() - 1)) % pools.size() : first;
    entry.pool = pools[chosen].first;
    entry.owner = pools[chosen].second;
}

void dispatch_control::sendRequest(monotonic_time now, pending_request& entry)
{
    entry.sent = now;
    if (*entry.owner == m_self.node) {
        m_poolManager.submit(now, entry.pool, toSchedulingRequest(entry.request, m_self.node));
        return;
    }
    // If the send queue to the owner is full, tick() sends the request again.
    m_mesh.send(*entry.owner, encodeSlotRequest(entry.request, entry.pool, now));
}

void dispatch_control::withdraw(monotonic_time now, const request_id& request)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end() || found->second.currentStage != stage::waiting || found->second.claimedTicket)
        return;
    if (found->second.owner == m_self.node) {
        m_poolManager.cancel(now, m_self.node, request);
    } else if (found->second.owner) {
        wire::slot_cancelT message;
        message.request = encodeKey(request);
        m_mesh.send(*found->second.owner, std::move(message));
    }
    m_pending.erase(found);
}

void dispatch_control::deliver(monotonic_time now, const node_id& owner, const scheduling_action& action)
{
    if (const auto* grant = std::get_if<slot_grant>(&action)) {
        handleGrant(now, owner, *grant);
    } else if (const auto* slotRefusal = std::get_if<slot_refusal>(&action)) {
        handleRefusal(now, owner, *slotRefusal);
    } else {
        const auto found = m_pending.find(std::get<slot_preemption>(action).request);
        if (found != m_pending.end() && found->second.currentStage == stage::dispatched && found->second.request.onPreempt) {
            found->second.request.progress->preempted = true;
            found->second.request.onPreempt();
        }
    }
}

void dispatch_control::handleGrant(monotonic_time now, const node_id& owner, const slot_grant& grant)
{
    const auto found = m_pending.find(grant.request);
    const bool wanted = found != m_pending.end() && found->second.owner == owner;
    if (wanted && found->second.currentStage != stage::waiting)
        return;
    if (!wanted) {
        returnSlot(now, owner, grant.request, false);
        return;
    }
    auto& entry = found->second;
    if (m_view->leavingEndpoints.contains(grant.endpoint)) {
        returnSlot(now, owner, grant.request, true);
        sendRequest(now, entry);
        return;
    }
    if (now >= entry.request.deadline) {
        returnSlot(now, owner, grant.request, false);
        refuse(grant.request, notExecuted(504, "deadline_passed", "the deadline passed while the request waited", "allow more time"));
        return;
    }
    entry.endpoint = grant.endpoint;
    if (!entry.claimedTicket) {
        permit(entry);
        return;
    }
    entry.currentStage = stage::intent;
    if (!entry.claimedTicket->witness.node.value.empty())
        m_tickets.home().markIntentSent(*entry.claimedTicket);
    m_tickets.recordIntent(*entry.claimedTicket, entry.request.ticket, entry.request.id, entry.endpoint,
        [this, id = grant.request](bool accepted) { handleIntentResult(id, accepted); });
}

void dispatch_control::handleIntentResult(const request_id& request, bool accepted)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end() || found->second.currentStage != stage::intent)
        return;
    auto& entry = found->second;
    const auto now = std::chrono::steady_clock::now();
    if (accepted && m_tickets.home().beginDispatch(now, *entry.claimedTicket, entry.request.deadline)) {
        permit(entry);
        return;
    }
    if (entry.owner)
        returnSlot(now, *entry.owner, request, false);
    refuse(request,
        accepted ? notExecuted(504, "deadline_passed", "the deadline passed before the request was dispatched", "allow more time")
                 : notExecuted(503, "witness_unavailable", "the ticket's witness did not acknowledge the intent",
                     "send the request again with a new ticket", std::chrono::milliseconds(100)));
}

void dispatch_control::permit(pending_request& entry)
{
    entry.currentStage = stage::dispatched;
    if (m_history.enabled()) {
        const auto hash = XXH3_64bits(entry.request.ticket.data(), entry.request.ticket.size());
        m_history.record("dispatched",
            { { "request", toString(entry.request.id) }, { "endpoint", entry.endpoint.value },
                { "ticket", entry.request.ticket.empty() ? std::string() : std::to_string(hash) } });
    }
    entry.callback(dispatch_permission { entry.endpoint, {} });
    if (entry.request.plainService)
        return;
    for (auto& waiting : std::exchange(entry.attachedCallbacks, {}))
        waiting(attach_to_stream { entry.request.id, entry.endpoint });
}

void dispatch_control::handleRefusal(monotonic_time now, const node_id& owner, const slot_refusal& slotRefusal)
{
    const auto found = m_pending.find(slotRefusal.request);
    if (found == m_pending.end() || found->second.owner != owner || found->second.currentStage != stage::waiting)
        return;
    auto& entry = found->second;
    const auto pools = m_poolOwners.find(entry.request.service);
    if (!entry.redirected && isCapacityReason(slotRefusal.reason) && pools != m_poolOwners.end() && pools->second.size() > 1) {
        entry.redirected = true;
        choosePool(entry);
        if (entry.owner) {
            sendRequest(now, entry);
            return;
        }
    }
    const auto milliseconds = [](duration value) { return std::chrono::duration_cast<std::chrono::milliseconds>(value).count(); };
    m_history.record("refused",
        { { "request", toString(slotRefusal.request) }, { "service", entry.request.service.value }, { "tier", entry.request.level.value },
            { "reason", refusalReasonNames.name(slotRefusal.reason) }, { "best_case_ms", milliseconds(slotRefusal.bestCase) },
            { "deadline_in_ms", milliseconds(entry.request.deadline - now) } });
    refuse(slotRefusal.request, toRefusal(slotRefusal));
}

void dispatch_control::refuse(const request_id& request, refusal reason)
{
    auto entry = m_pending.extract(request);
    if (entry.empty())
        return;
    if (entry.mapped().claimedTicket && !m_tickets.home().close(*entry.mapped().claimedTicket))
        reason.ran = ran_state::unknown;
    entry.mapped().callback(reason);
    for (auto& waiting : entry.mapped().attachedCallbacks)
        waiting(reason);
}

void dispatch_control::handleOwnerRejection(monotonic_time now, const node_id& owner, const request_id& request)
{
    const auto found = m_pending.find(request);
    if (found != m_pending.end() && found->second.owner == owner && found->second.currentStage == stage::waiting)
        found->second.sent = now - resendInterval + rejectedRetryDelay; // back-dated: tick() sends it again after rejectedRetryDelay
}

void dispatch_control::finished(monotonic_time now, const slot_release& release, std::optional<stored_response> response)
{
    auto node = m_pending.extract(release.request);
    if (node.empty())
        return;
    auto& entry = node.mapped();
    reportRelease(now, entry, release);
    if (!entry.claimedTicket)
        return;
    m_tickets.home().markAnswered(*entry.claimedTicket);
    for (auto& waiting : entry.attachedCallbacks) {
        if (response)
            waiting(*response);
        else
            waiting(unknownOutcome("the service's response to the earlier request with this ticket was lost"));
    }
    storeRecord(*entry.claimedTicket, { release.request, entry.endpoint, entry.request.plainService, std::move(response) });
}

void dispatch_control::storeRecord(const ticket& value, ticket_record record)
{
    m_recordBytes += record.response ? record.response->body.size() : 0;
    m_records.insert_or_assign(value, std::move(record));
    m_recordOrder.push_back(value);
    while (m_recordOrder.size() > maxTicketRecords || m_recordBytes > maxTicketRecordBytes) {
        const auto oldest = m_records.extract(m_recordOrder.front());
        m_recordOrder.pop_front();
        if (!oldest.empty() && oldest.mapped().response)
            m_recordBytes -= oldest.mapped().response->body.size();
    }
}

void dispatch_control::tick(monotonic_time now)
{
    std::vector<request_id> expired;
    std::vector<request_id> unanswered;
    for (const auto& [id, entry] : m_pending) {
        if (entry.currentStage != stage::waiting)
            continue;
        if (now > entry.request.deadline + deadlineGracePeriod)
            expired.push_back(id);
        else if (now - entry.sent > resendInterval)
            unanswered.push_back(id);
    }
    for (const auto& id : expired) {
        const auto& entry = m_pending.at(id);
        if (entry.owner == m_self.node) {
            m_poolManager.cancel(now, m_self.node, id);
        } else if (entry.owner) {
            wire::slot_cancelT message;
            message.request = encodeKey(id);
            m_mesh.send(*entry.owner, std::move(message));
        }
        refuse(id, notExecuted(504, "deadline_passed", "the deadline passed while the request waited", "allow more time"));
    }
    for (const auto& id : unanswered) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            continue;
        choosePool(found->second);
        if (found->second.owner)
            sendRequest(now, found->second);
    }
}

} // namespace carawaylink
