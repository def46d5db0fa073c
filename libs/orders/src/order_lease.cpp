#include "orders/order_lease.h"

#include <algorithm>
#include <ranges>

namespace carawaylink {

order_lease::order_lease(service_id service, order_holder self, order_lease_settings settings)
    : m_service(std::move(service))
    , m_self(std::move(self))
    , m_settings(settings)
{
}

void order_lease::apply(monotonic_time now, log_offset offset, const order_record& record)
{
    if (record.kind == order_record_kind::release) {
        // The holder appends a release when it has no orders to send and none is active, so its earlier leases end too. A release
        // that names an older lease arrived late and does not end a newer lease of the holder.
        if (m_newestLease && m_newestLease->record.id == record.subject && m_newestLease->record.holder == record.holder) {
            m_newestLease->released = true;
            m_otherLeaseExpiry.erase(record.holder);
            if (record.holder == m_self)
                m_ownLease.reset();
        }
        return;
    }
    const bool isOwn = record.holder == m_self;
    const auto previous = m_newestLease;
    m_newestLease = observed_lease { offset, record, now, false };
    if (!isOwn) {
        // The holder counts the TTL from before its append, which precedes this read.
        auto& expiry = m_otherLeaseExpiry[record.holder];
        expiry = std::max(expiry, now + record.ttl + m_settings.clockMargin);
        m_ownLease.reset();
        return;
    }
    const auto sent = m_pendingLeases.find(record.id);
    if (sent == m_pendingLeases.end()) {
        m_ownLease.reset();
        return;
    }
    if (!m_ownLease) {
        m_heldSince = now;
        const bool takenOver = previous && previous->record.holder != m_self && !previous->released;
        if (takenOver)
            m_takeoverWaitUntil = now + previous->record.ttl + m_settings.maxOrderDuration;
    }
    m_ownLease = own_lease { offset, record.id, sent->second + record.ttl };
}

void order_lease::handleTruncation(monotonic_time now)
{
    m_truncationWaitUntil = now + m_settings.ttl + m_settings.clockMargin;
    m_ownLease.reset();
    m_newestLease.reset();
}

bool order_lease::canAcquire(monotonic_time now) const
{
    if (!m_lastEndOfStreamRead || now < m_truncationWaitUntil)
        return false;
    if (!m_newestLease || m_newestLease->released || m_newestLease->record.holder == m_self)
        return true;
    const auto expiry = m_newestLease->readAt + m_newestLease->record.ttl + m_settings.clockMargin;
    return now >= expiry && *m_lastEndOfStreamRead >= expiry;
}

std::optional<order_record> order_lease::nextRecord(monotonic_time now, bool ordersDue, bool hasActiveOrders)
{
    std::erase_if(m_pendingLeases, [&](const auto& entry) { return now >= entry.second + m_settings.ttl; });
    std::erase_if(m_otherLeaseExpiry, [&](const auto& entry) { return now >= entry.second + m_settings.maxOrderDuration; });
    const bool isHolder = isHeld(now);
    if (m_ownLease && !ordersDue && !hasActiveOrders) {
        auto release = makeRecord(order_record_kind::release);
        release.subject = m_ownLease->id;
        m_ownLease.reset();
        // A renewal that is read back later must not make this node a holder again.
        m_pendingLeases.clear();
        m_nextAppend = now;
        return release;
    }
    // The lease is renewed while an order is active, so that no other node sends orders to the same engines meanwhile.
    const bool renew = isHolder && (ordersDue || hasActiveOrders) && now >= m_ownLease->deadline - m_settings.ttl / 2;
    const bool acquire = !isHolder && ordersDue && canAcquire(now);
    if ((!renew && !acquire) || now < m_nextAppend)
        return std::nullopt;
    auto lease = makeRecord(order_record_kind::lease);
    lease.ttl = m_settings.ttl;
    m_pendingLeases.emplace(lease.id, now);
    m_nextAppend = now + m_settings.appendRetryInterval;
    return lease;
}

monotonic_time order_lease::minSendTime() const
{
    const auto extra = m_settings.ignoresFencing ? m_settings.maxOrderDuration : duration::zero();
    auto end = m_settings.ignoresFencing ? m_takeoverWaitUntil : monotonic_time {};
    if (m_truncationWaitUntil != monotonic_time {})
        end = std::max(end, m_truncationWaitUntil + extra);
    for (const auto& expiry : m_otherLeaseExpiry | std::views::values)
        end = std::max(end, expiry + extra);
    return end;
}

std::optional<log_offset> order_lease::fencingToken(monotonic_time now) const
{
    if (!isHeld(now) || now < minSendTime())
        return std::nullopt;
    return m_ownLease->offset;
}

std::optional<order_holder> order_lease::holder() const
{
    if (!m_newestLease || m_newestLease->released)
        return std::nullopt;
    return m_newestLease->record.holder;
}

order_record order_lease::makeRecord(order_record_kind kind)
{
    order_record record;
    record.kind = kind;
    record.id = std::string(orderRecordKindNames.name(kind)) + '-' + m_service.value + '-' + m_self.node.value + '-'
        + std::to_string(m_self.run.value) + '-' + std::to_string(++m_sequence);
    record.service = m_service;
    record.holder = m_self;
    return record;
}

} // namespace carawaylink
