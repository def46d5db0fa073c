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
        // The holder sends a release when it gives no more orders and none is in flight, so its earlier leases are over too.
        // A release that names an older lease is late: a newer lease of the holder is not released by it.
        if (m_newest && m_newest->record.id == record.subject && m_newest->record.holder == record.holder) {
            m_newest->released = true;
            m_othersUntil.erase(record.holder);
            if (record.holder == m_self)
                m_own.reset();
        }
        return;
    }
    const bool isOwn = record.holder == m_self;
    const auto previous = m_newest;
    m_newest = known_lease { offset, record, now, false };
    if (!isOwn) {
        // The holder counts from before its append, which is before this read.
        auto& until = m_othersUntil[record.holder];
        until = std::max(until, now + record.ttl + m_settings.clockMargin);
        m_own.reset();
        return;
    }
    const auto sent = m_sent.find(record.id);
    if (sent == m_sent.end()) {
        m_own.reset();
        return;
    }
    if (!m_own) {
        m_heldSince = now;
        const bool takenOver = previous && previous->record.holder != m_self && !previous->released;
        if (takenOver)
            m_quietUntil = now + previous->record.ttl + m_settings.maxOrderDuration;
    }
    m_own = own_lease { offset, record.id, sent->second + record.ttl };
}

void order_lease::handleTruncation(monotonic_time now)
{
    m_unknownUntil = now + m_settings.ttl + m_settings.clockMargin;
    m_own.reset();
    m_newest.reset();
}

bool order_lease::mayTake(monotonic_time now) const
{
    if (!m_endSeen || now < m_unknownUntil)
        return false;
    if (!m_newest || m_newest->released || m_newest->record.holder == m_self)
        return true;
    const auto watched = m_newest->readAt + m_newest->record.ttl + m_settings.clockMargin;
    return now >= watched && *m_endSeen >= watched;
}

std::optional<order_record> order_lease::nextRecord(monotonic_time now, bool wanted, bool hasActiveOrders)
{
    std::erase_if(m_sent, [&](const auto& entry) { return now >= entry.second + m_settings.ttl; });
    std::erase_if(m_othersUntil, [&](const auto& entry) { return now >= entry.second + m_settings.maxOrderDuration; });
    const bool holds = isHeld(now);
    if (m_own && !wanted && !hasActiveOrders) {
        auto release = makeRecord(order_record_kind::release);
        release.subject = m_own->id;
        m_own.reset();
        // A renewal that is still on its way must not make this node a holder again.
        m_sent.clear();
        m_nextAppend = now;
        return release;
    }
    // An order in flight keeps the lease, so that no other node gives orders to the same engines meanwhile.
    const bool keep = holds && (wanted || hasActiveOrders) && now >= m_own->deadline - m_settings.ttl / 2;
    const bool take = !holds && wanted && mayTake(now);
    if ((!keep && !take) || now < m_nextAppend)
        return std::nullopt;
    auto lease = makeRecord(order_record_kind::lease);
    lease.ttl = m_settings.ttl;
    m_sent.emplace(lease.id, now);
    m_nextAppend = now + m_settings.appendRetryInterval;
    return lease;
}

monotonic_time order_lease::waitEnd() const
{
    const auto extra = m_settings.ignoresFencing ? m_settings.maxOrderDuration : duration::zero();
    auto end = m_settings.ignoresFencing ? m_quietUntil : monotonic_time {};
    if (m_unknownUntil != monotonic_time {})
        end = std::max(end, m_unknownUntil + extra);
    for (const auto& until : m_othersUntil | std::views::values)
        end = std::max(end, until + extra);
    return end;
}

std::optional<log_offset> order_lease::fencingToken(monotonic_time now) const
{
    if (!isHeld(now) || now < waitEnd())
        return std::nullopt;
    return m_own->offset;
}

std::optional<order_holder> order_lease::holder() const
{
    if (!m_newest || m_newest->released)
        return std::nullopt;
    return m_newest->record.holder;
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
