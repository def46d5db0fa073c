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
        m_claims.erase(claim);
        m_ended[claim] = now + m_settings.ttl + m_settings.clockMargin;
        if (record.holder == m_self)
            m_own.erase(claim);
        return;
    }
    // An append that was repeated or came late must not bring a claim back.
    if (m_ended.contains(claim))
        return;
    if (record.holder == m_self) {
        applyOwn(now, offset, record);
        return;
    }
    // A claim that was dropped here may come back by a late record; its holder no longer uses it, so that only costs time.
    const auto until = now + record.ttl + m_settings.clockMargin;
    auto& seen = m_claims.try_emplace(claim, seen_claim { isClaim ? offset : record.since, record.holder, until }).first->second;
    seen.until = std::max(seen.until, until);
}

void permit_table::applyOwn(monotonic_time now, log_offset offset, const order_record& record)
{
    const auto sent = m_sent.find(record.id);
    if (sent == m_sent.end())
        return;
    const auto own = m_own.find(sent->second.claim);
    if (own == m_own.end())
        return;
    const auto deadline = sent->second.sentAt + record.ttl;
    if (record.kind == order_record_kind::permit) {
        if (!own->second.since) {
            own->second.since = offset;
            own->second.deadline = deadline;
        }
    } else if (own->second.since && now < own->second.deadline) {
        // A renewal that is read back too late does not count: other nodes may have regarded the claim as over.
        own->second.deadline = std::max(own->second.deadline, deadline);
    }
}

void permit_table::handleTruncation(monotonic_time now)
{
    m_unknownUntil = now + m_settings.ttl + m_settings.clockMargin;
}

void permit_table::setWanted(const service_id& service, bool wanted)
{
    if (wanted)
        m_wanted.insert(service);
    else
        m_wanted.erase(service);
}

std::vector<order_record> permit_table::nextRecords(monotonic_time now)
{
    std::vector<order_record> records;
    std::erase_if(m_sent, [&](const auto& entry) { return now >= entry.second.sentAt + m_settings.ttl; });
    std::erase_if(m_claims, [&](const auto& entry) { return over(now, entry.second); });
    std::erase_if(m_ended, [&](const auto& entry) { return now >= entry.second; });
    // A claim that has run out needs no end record.
    std::erase_if(m_own, [&](const auto& entry) { return entry.second.state != claim_state::running && now >= entry.second.deadline; });
    auto waiting = m_wanted;
    for (auto& [id, own] : m_own) {
        if (own.state == claim_state::queued && !m_wanted.contains(own.service))
            own.state = claim_state::ended;
        if (own.state == claim_state::queued)
            waiting.erase(own.service);
        if (now < own.nextAppend)
            continue;
        if (own.state == claim_state::queued && !own.since) {
            records.push_back(makeClaim(now, id, own.service));
        } else if (own.state == claim_state::queued && now >= own.deadline - m_settings.maxLoadDuration - renewalTime()) {
            auto record = makeRecord(order_record_kind::permit_renewal, own.service);
            record.ttl = m_settings.ttl;
            record.subject = id;
            record.since = *own.since;
            m_sent.emplace(record.id, sent_append { id, now });
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
    for (const auto& service : waiting) {
        const auto id = makeRecord(order_record_kind::permit, service).id;
        records.push_back(makeClaim(now, id, service));
        m_own.emplace(
            id, own_claim { service, claim_state::queued, std::nullopt, now + m_settings.ttl, now + m_settings.appendRetryInterval });
    }
    return records;
}

// The same id is used for every attempt, so that a claim whose append was late or repeated has one place in the queue. Its
// deadline counts from the first attempt.
order_record permit_table::makeClaim(monotonic_time now, const std::string& id, const service_id& service)
{
    m_sent.emplace(id, sent_append { id, now });
    return { order_record_kind::permit, id, service, m_self, m_settings.ttl, {}, {} };
}

order_record permit_table::makeRecord(order_record_kind kind, const service_id& service)
{
    const auto id = std::string(orderRecordKindNames.name(kind)) + '-' + service.value + '-' + m_self.node.value + '-'
        + std::to_string(m_self.run.value) + '-' + std::to_string(++m_sequence);
    return { kind, id, service, m_self, {}, {}, {} };
}

bool permit_table::over(monotonic_time now, const seen_claim& claim) const
{
    // A renewal may stand in the log unread: only a read that was started after the end and found none is proof.
    return now >= claim.until && m_endSeen && *m_endSeen >= claim.until;
}

std::size_t permit_table::olderClaims(monotonic_time now, log_offset since) const
{
    const auto others = std::ranges::count_if(
        m_claims | std::views::values, [&](const seen_claim& claim) { return claim.since < since && !over(now, claim); });
    const auto own = std::ranges::count_if(m_own | std::views::values,
        [&](const own_claim& claim) { return claim.since && *claim.since < since && claim.state != claim_state::ended; });
    return static_cast<std::size_t>(others + own);
}

std::optional<std::string> permit_table::tryAcquire(monotonic_time now, const service_id& service, std::size_t limit)
{
    if (!m_endSeen || now < m_unknownUntil)
        return std::nullopt;
    const auto found = std::ranges::find_if(m_own, [&](const auto& entry) {
        return entry.second.service == service && entry.second.state == claim_state::queued && entry.second.since;
    });
    if (found == m_own.end() || now + m_settings.maxLoadDuration >= found->second.deadline)
        return std::nullopt;
    if (olderClaims(now, *found->second.since) >= limit)
        return std::nullopt;
    found->second.state = claim_state::running;
    return found->first;
}

void permit_table::release(const std::string& claim)
{
    const auto found = m_own.find(claim);
    if (found == m_own.end())
        return;
    found->second.state = claim_state::ended;
    found->second.nextAppend = {};
}

std::size_t permit_table::runningLoads() const
{
    return static_cast<std::size_t>(std::ranges::count(m_own | std::views::values, claim_state::running, &own_claim::state));
}

} // namespace carawaylink
