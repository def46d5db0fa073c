#pragma once

#include "base/enum_table.h"
#include "config/record.h"
#include "settings/settings.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaylink {

enum class config_outcome {
    accepted,
    refused,
    duplicate, ///< repetition of a record that was decided before; result.version is that of the first decision
    snapshot, ///< changes nothing in a fold that has the state of this offset already
    already_applied, ///< the offset is below nextOffset()
    pending, ///< the fold waits for a snapshot or a peer's state before it can decide
    undetermined, ///< not accepted now, but may repeat a change that was accepted beyond the memory of this fold
};

inline constexpr auto configOutcomeNames = enumTable<config_outcome>({
    { config_outcome::accepted, "accepted" },
    { config_outcome::refused, "refused" },
    { config_outcome::duplicate, "duplicate" },
    { config_outcome::snapshot, "snapshot" },
    { config_outcome::already_applied, "already_applied" },
    { config_outcome::pending, "pending" },
    { config_outcome::undetermined, "undetermined" },
});

struct config_result {
    config_outcome outcome = config_outcome::pending;
    config_version version; ///< version in effect after the record
    std::string message; ///< why, where the record was not accepted
};

/// Sizes of the memory that serves answers only; none of them influences version or document.
struct config_fold_limits {
    std::size_t rememberedIds = 4096;
    std::size_t rememberedChanges = 256;
    std::size_t pendingBytes = 16 << 20; ///< records kept while waiting for a snapshot
};

/// The fleet configuration as the result of all records of the log stream `config`.
///
/// Version and document after an offset depend on the records before it only, whether the fold read all of them, started
/// from a snapshot or took a peer's state. A new fold is the state of offset 0: version 0 and no configuration. A change
/// raises the version by one; a reset at offset n sets it to n + 1, which no fold can have reached before.
class configuration_fold {
public:
    explicit configuration_fold(config_fold_limits limits = {});

    /// Folds the record at `offset`. An offset above nextOffset() means that the records between are gone, see truncated().
    config_result apply(log_offset offset, std::string_view data);

    /// The log holds no record before `first`. Where that is above nextOffset(), the fold keeps its version in effect and
    /// decides nothing until a snapshot that covers the gap, a reset or installSnapshot() closes it.
    void truncated(log_offset first);

    /// Takes over the state of a peer: the result of all records before `nextOffset`. Refused where it is older than the
    /// state of this fold, contradicts it, or `document` is not valid.
    config_result installSnapshot(config_version version, log_offset nextOffset, std::string_view document);

    config_version version() const { return m_version; }
    /// Canonical YAML; empty at version 0.
    const std::string& document() const { return m_document; }
    /// nullptr at version 0.
    std::shared_ptr<const schema::fleet_configurationT> configuration() const { return m_configuration; }

    /// The offset to read from next.
    log_offset nextOffset() const { return m_waiting ? m_pendingEnd : m_nextOffset; }
    /// version() and document() are the result of all records before this offset. Send this one to peers.
    log_offset stateOffset() const { return m_nextOffset; }
    /// True between a gap and the snapshot that closes it.
    bool needsSnapshot() const { return m_waiting; }

    /// Id of the last accepted change that this fold has seen; empty where it has seen none.
    const std::string& lastAcceptedId() const { return m_lastAcceptedId; }
    /// The result of a recent record.
    std::optional<config_result> find(std::string_view id) const;

    /// The record that a node appends to keep the state within the retention period. Throws error(conflict) where the fold
    /// has no state to write: at version 0 and while needsSnapshot().
    config_record makeSnapshot(std::string id, std::string author) const;

private:
    struct pending_record {
        log_offset offset;
        std::string data;
    };
    struct accepted_change {
        config_version version;
        std::string id;
        std::string author;
        std::vector<std::string> paths; ///< the first few
        std::size_t pathCount = 0;
    };

    config_result fold(log_offset offset, std::string_view data);
    config_result foldChange(const config_record& record);
    config_result foldReset(log_offset offset, const config_record& record);
    config_result foldSnapshot(log_offset offset, const config_record& record) const;
    config_result keepPending(log_offset offset, std::string_view data);
    bool closesGap(log_offset offset, const config_record& record) const;
    void replayPending();
    void rememberUndetermined(std::string_view data);
    void setState(config_version version, std::optional<schema::fleet_configurationT> configuration);
    void takeState(config_version version, std::optional<schema::fleet_configurationT> configuration);
    void accept(const config_record& record, config_version version, schema::fleet_configurationT configuration);
    void remember(const std::string& id, const config_result& result);
    config_result explainStale(const config_record& record) const;
    static std::string describe(const accepted_change& change);

    config_fold_limits m_limits;
    config_version m_version;
    log_offset m_nextOffset;
    std::string m_document;
    std::shared_ptr<const schema::fleet_configurationT> m_configuration;

    bool m_waiting = false;
    log_offset m_pendingBegin;
    log_offset m_pendingEnd;
    std::size_t m_pendingBytes = 0;
    std::deque<pending_record> m_pending;

    std::string m_lastAcceptedId;
    std::deque<accepted_change> m_changes; ///< without a hole up to m_version
    std::deque<std::string> m_idOrder;
    std::unordered_map<std::string, config_result> m_results;
};

} // namespace carawaylink
