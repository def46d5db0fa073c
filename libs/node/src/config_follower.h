#pragma once

#include "config/fold.h"
#include "history.h"
#include "http/client.h"
#include "membership/failure_detector.h"
#include "mesh/periodic_task.h"
#include "peer_mesh.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

struct config_follower_settings {
    std::string logAddress;
    /// Delay after a failed read, and the maximum time that a read waits for new records.
    duration pollInterval = std::chrono::seconds(1);
    duration snapshotInterval = std::chrono::minutes(10);
};

/// Folds the configuration stream of the platform log and exchanges the newest configuration with peers. In a large cluster, a few
/// members read the log, and the others fetch the configuration from members that announce a newer version. Runs on the control thread.
class config_follower {
public:
    using change_handler = std::function<void(const configuration_fold&)>;
    using append_callback = std::function<void(const std::optional<config_result>&)>;

    config_follower(boost::asio::io_context& context, node_id self, config_follower_settings settings, peer_mesh& mesh, history& record,
        change_handler onChange);
    ~config_follower();

    void start();
    /// Sets the live members, which also determine the log readers.
    void setMembers(const std::vector<member_update>& members);
    /// Handles the configuration version announced by a peer.
    void onPeerVersion(const node_id& peer, config_version version);
    void receive(const peer_identity& from, const wire::config_requestT& message);
    void receive(const peer_identity& from, const wire::config_snapshotT& message);
    /// Appends a record and waits until it is folded; the callback receives nullopt if that takes longer than the limit.
    void append(const config_record& record, duration limit, append_callback callback);

    const configuration_fold& fold() const { return m_fold; }

private:
    void read();
    void handleReadResult(const http_result& result);
    void applyRecords(const std::string& body);
    void scheduleRead(duration pause);
    void requestFromNextPeer();
    void requestFrom(const node_id& peer);
    void publishIfChanged();
    void appendSnapshot();
    void completeAppends();
    bool isLogReader() const;

    boost::asio::io_context& m_context;
    node_id m_self;
    config_follower_settings m_settings;
    peer_mesh& m_mesh;
    history& m_history;
    change_handler m_onChange;
    http_client m_client;
    configuration_fold m_fold;
    config_version m_publishedVersion;
    std::vector<member_update> m_members;
    std::shared_ptr<http_call> m_readCall;
    boost::asio::steady_timer m_readTimer;
    std::unique_ptr<periodic_task> m_snapshotTask;
    std::unique_ptr<periodic_task> m_peerTask;
    monotonic_time m_lastPeerRequest {};
    std::size_t m_nextPeerIndex = 0;
    bool m_logFailed = false;

    struct pending_append {
        std::string id;
        append_callback callback;
        monotonic_time limit;
    };
    std::vector<pending_append> m_pendingAppends;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace carawaylink
