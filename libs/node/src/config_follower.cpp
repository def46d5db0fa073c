#include "config_follower.h"

#include "base/error.h"
#include "base/log.h"
#include "base/random.h"
#include "crypto/digest.h"
#include "membership/ownership.h"
#include "platform_log.h"

#include <algorithm>
#include <boost/json.hpp>

namespace carawaylink {

namespace {

constexpr std::string_view configStream = "config";
// With up to this many members, all read the log; in larger clusters, this many do.
constexpr std::size_t maxLogReaders = 8;
constexpr auto peerCheckInterval = std::chrono::milliseconds(500);
constexpr auto backupReadInterval = std::chrono::seconds(30);

} // namespace

config_follower::config_follower(boost::asio::io_context& context, node_id self, config_follower_settings settings, peer_mesh& mesh,
    history& record, change_handler onChange)
    : m_context(context)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_mesh(mesh)
    , m_history(record)
    , m_onChange(std::move(onChange))
    , m_client(context)
    , m_readTimer(context)
{
}

config_follower::~config_follower()
{
    *m_alive = false;
    if (m_readCall)
        m_readCall->cancel();
}

void config_follower::start()
{
    read();
    m_snapshotTask = std::make_unique<periodic_task>(m_context, m_settings.snapshotInterval, [this] { appendSnapshot(); });
    m_peerTask = std::make_unique<periodic_task>(m_context, peerCheckInterval, [this] {
        if (m_fold.needsSnapshot() || m_fold.version().value == 0)
            requestFromNextPeer();
        for (const auto& member : m_members)
            onPeerVersion(member.node, member.config);
        completeAppends();
    });
}

void config_follower::setMembers(const std::vector<member_update>& members)
{
    m_members = members;
}

bool config_follower::isLogReader() const
{
    if (m_members.size() <= maxLogReaders || m_fold.version().value == 0)
        return true;
    const auto own = rendezvousWeight("config-reader", m_self);
    const auto higherWeighted = std::ranges::count_if(
        m_members, [&](const member_update& member) { return rendezvousWeight("config-reader", member.node) > own; });
    return static_cast<std::size_t>(higherWeighted) < maxLogReaders;
}

void config_follower::read()
{
    if (m_readCall)
        return;
    http_call_options options;
    // The log responds at the latest when the requested wait has passed.
    options.idleTimeout = m_settings.pollInterval + std::chrono::seconds(1);
    const auto target = readTarget(configStream, m_fold.nextOffset(), m_settings.pollInterval);
    m_readCall
        = m_client.send(m_settings.logAddress, { "GET", target, {}, {} }, options, [this, alive = m_alive](const http_result& result) {
              if (!*alive)
                  return;
              m_readCall.reset();
              handleReadResult(result);
          });
}

void config_follower::handleReadResult(const http_result& result)
{
    const bool failed = !result.ok() || (result.response.status != 200 && result.response.status != 410);
    if (failed != m_logFailed) {
        m_logFailed = failed;
        log_event(failed ? "config_log_unavailable" : "config_log_available", failed ? log_level::warning : log_level::info)
            .field("log", m_settings.logAddress)
            .field("version", m_fold.version())
            .field("detail", result.detail);
    }
    if (failed) {
        completeAppends();
        scheduleRead(m_settings.pollInterval);
        return;
    }
    try {
        const auto page = parseLogPage(result.response.body);
        if (result.response.status == 410 || page.first > m_fold.nextOffset()) {
            log_event("config_log_truncated", log_level::warning).field("first", page.first).field("next_offset", m_fold.nextOffset());
            m_fold.truncated(page.first);
        }
        for (const auto& record : page.records) {
            const auto folded = m_fold.apply(record.offset, record.data);
            log_event("config_record")
                .field("offset", record.offset)
                .field("outcome", configOutcomeNames.name(folded.outcome))
                .field("version", folded.version);
        }
    } catch (const error& failure) {
        log_event("config_log_malformed", log_level::warning).field("error", failure.what());
        scheduleRead(m_settings.pollInterval);
        return;
    }
    publishIfChanged();
    completeAppends();
    scheduleRead(isLogReader() ? duration::zero() : backupReadInterval);
}

void config_follower::scheduleRead(duration pause)
{
    m_readTimer.expires_after(pause);
    m_readTimer.async_wait([this, alive = m_alive](boost::system::error_code status) {
        if (!status && *alive)
            read();
    });
}

void config_follower::publishIfChanged()
{
    if (m_fold.version() == m_publishedVersion)
        return;
    m_publishedVersion = m_fold.version();
    log_event("config_in_force").field("version", m_publishedVersion).field("change", m_fold.lastAcceptedId());
    m_onChange(m_fold);
    m_history.record(
        "config_in_force", { { "version", m_publishedVersion.value }, { "digest", sha256Hex(m_fold.document()).substr(0, 16) } });
}

void config_follower::onPeerVersion(const node_id& peer, config_version version)
{
    if (version <= m_fold.version() || peer == m_self)
        return;
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastPeerRequest < peerCheckInterval / 2)
        return;
    m_lastPeerRequest = now;
    requestFrom(peer);
}

// After a gap in the log, a peer with the same version may still hold the state that this fold lacks.
void config_follower::requestFromNextPeer()
{
    if (m_members.empty())
        return;
    const auto& peer = m_members[m_nextPeerIndex++ % m_members.size()].node;
    if (peer != m_self)
        requestFrom(peer);
}

void config_follower::requestFrom(const node_id& peer)
{
    wire::config_requestT message;
    message.have_version = m_fold.version().value;
    message.have_offset = m_fold.stateOffset().value;
    m_mesh.send(peer, std::move(message));
}

void config_follower::receive(const peer_identity& from, const wire::config_requestT& message)
{
    const bool newer = m_fold.version().value > message.have_version
        || (m_fold.version().value == message.have_version && m_fold.stateOffset().value > message.have_offset);
    if (!newer || m_fold.version().value == 0 || m_fold.needsSnapshot())
        return;
    wire::config_snapshotT answer;
    answer.version = m_fold.version().value;
    answer.next_offset = m_fold.stateOffset().value;
    answer.document.assign(m_fold.document().begin(), m_fold.document().end());
    try {
        m_mesh.send(from.process.node, std::move(answer));
    } catch (const error& failure) {
        log_event("config_snapshot_too_large", log_level::error).field("peer", from.process.node).field("error", failure.what());
    }
}

void config_follower::receive(const peer_identity& from, const wire::config_snapshotT& message)
{
    const std::string document(message.document.begin(), message.document.end());
    const auto result = m_fold.installSnapshot(config_version(message.version), log_offset(message.next_offset), document);
    if (result.outcome == config_outcome::refused)
        log_event("config_snapshot_refused", log_level::warning).field("peer", from.process.node).field("message", result.message);
    publishIfChanged();
    completeAppends();
}

void config_follower::append(const config_record& record, duration limit, append_callback callback)
{
    m_pendingAppends.push_back({ record.id, std::move(callback), std::chrono::steady_clock::now() + limit });
    http_call_options options;
    options.idleTimeout = limit;
    m_client.send(m_settings.logAddress, appendRequest(configStream, record.id, toJson(record)), options,
        [this, alive = m_alive, id = record.id](const http_result& result) {
            if (!*alive)
                return;
            // If the response is lost, the record is recognized by its id when it is folded.
            if (!result.ok() || result.response.status != 200)
                log_event("config_append_unconfirmed", log_level::warning)
                    .field("change", id)
                    .field("detail", result.detail)
                    .field("status", result.response.status);
            read();
        });
    completeAppends();
}

void config_follower::completeAppends()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::function<void()>> answers;
    std::erase_if(m_pendingAppends, [&](pending_append& entry) {
        const auto result = m_fold.find(entry.id);
        const bool isDecided = result && result->outcome != config_outcome::pending;
        if (!isDecided && now < entry.limit)
            return false;
        answers.push_back([callback = std::move(entry.callback), result = isDecided ? result : std::nullopt] { callback(result); });
        return true;
    });
    std::ranges::for_each(answers, [](const auto& answer) { answer(); });
}

void config_follower::appendSnapshot()
{
    std::vector<node_id> nodes { m_self };
    std::ranges::transform(m_members, std::back_inserter(nodes), &member_update::node);
    if (m_fold.version().value == 0 || m_fold.needsSnapshot() || rendezvousOwner("config-snapshot", nodes) != m_self)
        return;
    const auto id = "snapshot-" + std::to_string(m_fold.version().value) + "-" + std::to_string(randomSeed());
    const auto record = m_fold.makeSnapshot(id, m_self.value);
    m_client.send(m_settings.logAddress, appendRequest(configStream, id, toJson(record)), {}, [](const http_result& result) {
        log_event("config_snapshot_appended").field("ok", result.ok()).field("status", result.response.status);
    });
}

} // namespace carawaylink
