#include "orders/permit_table.h"

#include <algorithm>
#include <ranges>

namespace carawaylink {

permit_table::permit_table(order_holder self, permit_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void permit_table::apply(monotonic_time now, log_offset offset, const order_record& record)
{
    const bool isClaim = record.kind == order_record_kind::permit;
    const auto& claim = isClaim ? record.id : record.subject;
    if (record.kind == order_record_kind::permit_end) {
        m_remoteClaims.erase(claim);
        m_endedClaims[claim] = now + m_settings.ttl + m_settings.clockMargin;
        if (record.holder == m_self)
            m_ownClaims.erase(claim);
        return;
    }
    // A repeated or late append must not restore an ended claim.
    if (m_endedClaims.contains(claim))
        return;
    if (record.holder == m_self) {
        applyOwn(now, offset, record);
        return;
    }
    // A late record may restore a claim that expired here. Its holder no longer uses it, so this only delays other claims.
    const auto expiresAt = now + record.ttl + m_settings.clockMargin;
    auto& remote
        = m_remoteClaims.try_emplace(claim, remote_claim { isClaim ? offset : record.since, record.holder, expiresAt }).first->second;
    remote.expiresAt = std::max(remote.expiresAt, expiresAt);
}

void permit_table::applyOwn(monotonic_time now, log_offset offset, const order_record& record)
{
    const auto sent = m_pendingAppends.find(record.id);
    if (sent == m_pendingAppends.end())
        return;
    const auto own = m_ownClaims.find(sent->second.claim);
    if (own == m_ownClaims.end())
        return;
    const auto deadline = sent->second.sentAt + record.ttl;
    if (record.kind == order_record_kind::permit) {
        if (!own->second.queueOffset) {
            own->second.queueOffset = offset;
            own->second.deadline = deadline;
        }
    } else if (own->second.queueOffset && now < own->second.deadline) {
        // A renewal that is read back after the deadline is ignored: other nodes may have treated the claim as expired.
        own->second.deadline = std::max(own->second.deadline, deadline);
    }
}

void permit_table::handleTruncation(monotonic_time now)
{
    m_truncationWaitUntil = now + m_settings.ttl + m_settings.clockMargin;
}

void permit_table::setHasLoads(const service_id& service, bool hasLoads)
{
    if (hasLoads)
        m_servicesWithLoads.insert(service);
    else
        m_servicesWithLoads.erase(service);
}

std::vector<order_record> permit_table::nextRecords(monotonic_time now)
{
    std::vector<order_record> records;
    std::erase_if(m_pendingAppends, [&](const auto& entry) { return now >= entry.second.sentAt + m_settings.ttl; });
    std::erase_if(m_remoteClaims, [&](const auto& entry) { return hasExpired(now, entry.second); });
    std::erase_if(m_endedClaims, [&](const auto& entry) { return now >= entry.second; });
    // An expired claim needs no end record.
    std::erase_if(
        m_ownClaims, [&](const auto& entry) { return entry.second.state != claim_state::running && now >= entry.second.deadline; });
    auto servicesWithoutClaim = m_servicesWithLoads;
    for (auto& [id, own] : m_ownClaims) {
        if (own.state == claim_state::queued && !m_servicesWithLoads.contains(own.service))
            own.state = claim_state::ended;
        if (own.state == claim_state::queued)
            servicesWithoutClaim.erase(own.service);
        if (now < own.nextAppend)
            continue;
        if (own.state == claim_state::queued && !own.queueOffset) {
            records.push_back(makeClaim(now, id, own.service));
        } else if (own.state == claim_state::queued && now >= own.deadline - m_settings.maxLoadDuration - renewalLead()) {
            auto record = makeRecord(order_record_kind::permit_renewal, own.service);
            record.ttl = m_settings.ttl;
            record.subject = id;
            record.since = *own.queueOffset;
            m_pendingAppends.emplace(record.id, pending_append { id, now });
            records.push_back(std::move(record));
        } else if (own.state == claim_state::ended) {
            auto record = makeRecord(order_record_kind::permit_end, own.service);
            record.subject = id;
            records.push_back(std::move(record));
        } else {
            continue;
        }
        own.nextAppend = now + m_settings.appendRetryInterval;
    }
    for (const auto& service : servicesWithoutClaim) {
        const auto id = makeRecord(order_record_kind::permit, service).id;
        records.push_back(makeClaim(now, id, service));
        m_ownClaims.emplace(
            id, own_claim { service, claim_state::queued, std::nullopt, now + m_settings.ttl, now + m_settings.appendRetryInterval });
    }
    return records;
}

// Every attempt uses the same id, so that a claim whose append was late or repeated has one queue position. Its deadline counts
// from the first attempt.
order_record permit_table::makeClaim(monotonic_time now, const std::string& id, const service_id& service)
{
    m_pendingAppends.emplace(id, pending_append { id, now });
    return { order_record_kind::permit, id, service, m_self, m_settings.ttl, {}, {} };
}

order_record permit_table::makeRecord(order_record_kind kind, const service_id& service)
{
    const auto id = std::string(orderRecordKindNames.name(kind)) + '-' + service.value + '-' + m_self.node.value + '-'
        + std::to_string(m_self.run.value) + '-' + std::to_string(++m_sequence);
    return { kind, id, service, m_self, {}, {}, {} };
}

bool permit_table::hasExpired(monotonic_time now, const remote_claim& claim) const
{
    // The log may hold an unread renewal: the claim has expired only if a read started after its expiry reached the end of the stream.
    return now >= claim.expiresAt && m_lastEndOfStreamRead && *m_lastEndOfStreamRead >= claim.expiresAt;
}

std::size_t permit_table::countOlderClaims(monotonic_time now, log_offset queueOffset) const
{
    const auto others = std::ranges::count_if(m_remoteClaims | std::views::values,
        [&](const remote_claim& claim) { return claim.queueOffset < queueOffset && !hasExpired(now, claim); });
    const auto own = std::ranges::count_if(m_ownClaims | std::views::values,
        [&](const own_claim& claim) { return claim.queueOffset && *claim.queueOffset < queueOffset && claim.state != claim_state::ended; });
    return static_cast<std::size_t>(others + own);
}

std::optional<std::string> permit_table::tryAcquire(monotonic_time now, const service_id& service, std::size_t limit)
{
    if (!m_lastEndOfStreamRead || now < m_truncationWaitUntil)
        return std::nullopt;
    const auto found = std::ranges::find_if(m_ownClaims, [&](const auto& entry) {
        return entry.second.service == service && entry.second.state == claim_state::queued && entry.second.queueOffset;
    });
    if (found == m_ownClaims.end() || now + m_settings.maxLoadDuration >= found->second.deadline)
        return std::nullopt;
    if (countOlderClaims(now, *found->second.queueOffset) >= limit)
        return std::nullopt;
    found->second.state = claim_state::running;
    return found->first;
}

void permit_table::release(const std::string& claim)
{
    const auto found = m_ownClaims.find(claim);
    if (found == m_ownClaims.end())
        return;
    found->second.state = claim_state::ended;
    found->second.nextAppend = {};
}

std::size_t permit_table::runningLoads() const
{
    return static_cast<std::size_t>(std::ranges::count(m_ownClaims | std::views::values, claim_state::running, &own_claim::state));
}

} // namespace carawaylink
