#include "config/fold.h"

#include "base/error.h"
#include "config/difference.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carawaylink {
namespace {

// More paths than this do not help an operator to see what changed.
constexpr std::size_t maxPathsPerChange = 20;

std::string number(config_version version)
{
    return std::to_string(version.value);
}
std::string number(log_offset offset)
{
    return std::to_string(offset.value);
}

config_version next(config_version version)
{
    return config_version(version.value + 1);
}
log_offset next(log_offset offset)
{
    return log_offset(offset.value + 1);
}

} // namespace

configuration_fold::configuration_fold(config_fold_limits limits)
    : m_limits(limits)
{
}

config_result configuration_fold::apply(log_offset offset, std::string_view data)
{
    if (offset < nextOffset())
        return { config_outcome::already_applied, m_version, "offset " + number(offset) + " was read before" };
    truncated(offset);
    if (m_waiting)
        return keepPending(offset, data);
    m_nextOffset = next(offset);
    return fold(offset, data);
}

void configuration_fold::truncated(log_offset first)
{
    if (first <= nextOffset())
        return;
    // Records between are lost to this fold, and any of them may have been accepted. What was kept before them is of no use.
    m_waiting = true;
    m_pending.clear();
    m_pendingBytes = 0;
    m_pendingBegin = first;
    m_pendingEnd = first;
}

config_result configuration_fold::keepPending(log_offset offset, std::string_view data)
{
    m_pending.push_back({ offset, std::string(data) });
    m_pendingBytes += data.size();
    m_pendingEnd = next(offset);
    // Dropping the oldest records only moves the offset that a snapshot has to cover.
    while (m_pendingBytes > m_limits.pendingBytes && m_pending.size() > 1) {
        m_pendingBytes -= m_pending.front().data.size();
        m_pendingBegin = next(m_pending.front().offset);
        m_pending.pop_front();
    }
    try {
        const auto record = parseConfigRecord(data);
        settings_report report;
        if (record.kind == config_record_kind::reset && loadFleetConfiguration(record.document, report)) {
            m_nextOffset = offset;
            replayPending();
            return { config_outcome::accepted, m_version, "" };
        }
        if (record.kind == config_record_kind::snapshot && closesGap(offset, record)) {
            if (auto configuration = loadFleetConfiguration(record.document, report)) {
                takeState(record.baseVersion, std::move(configuration));
                m_nextOffset = *record.nextOffset;
                replayPending();
                return { config_outcome::snapshot, m_version, "" };
            }
        }
    } catch (const error&) {
        // A malformed record is refused when it is replayed.
    }
    return { config_outcome::pending, m_version, "records before offset " + number(m_pendingBegin) + " are gone; waiting for a snapshot" };
}

bool configuration_fold::closesGap(log_offset offset, const config_record& record) const
{
    return *record.nextOffset >= m_pendingBegin && *record.nextOffset <= offset && record.baseVersion >= m_version
        && *record.nextOffset >= m_nextOffset;
}

void configuration_fold::replayPending()
{
    m_waiting = false;
    m_pendingBytes = 0;
    const auto records = std::exchange(m_pending, {});
    for (const auto& record : records) {
        if (record.offset < m_nextOffset) {
            rememberUndetermined(record.data);
            continue;
        }
        m_nextOffset = next(record.offset);
        fold(record.offset, record.data);
    }
    m_nextOffset = std::max(m_nextOffset, m_pendingEnd);
}

void configuration_fold::rememberUndetermined(std::string_view data)
{
    try {
        const auto record = parseConfigRecord(data);
        if (record.kind == config_record_kind::change)
            remember(
                record.id, { config_outcome::undetermined, m_version, "decided before this node knew the version; compare the documents" });
    } catch (const error&) {
        // A malformed record has no id that anyone could ask for.
    }
}

config_result configuration_fold::fold(log_offset offset, std::string_view data)
{
    try {
        const auto record = parseConfigRecord(data);
        switch (record.kind) {
        case config_record_kind::change:
            return foldChange(record);
        case config_record_kind::snapshot:
            return foldSnapshot(offset, record);
        case config_record_kind::reset:
            return foldReset(offset, record);
        }
        throw error(error_kind::internal, "a record kind is not folded", "add it to configuration_fold::fold()");
    } catch (const error& failure) {
        return { config_outcome::refused, m_version, failure.message() };
    }
}

config_result configuration_fold::foldChange(const config_record& record)
{
    // Only version, document and the record itself decide about acceptance: a fold that began later remembers fewer ids and
    // has to come to the same result. A repetition of an accepted change is based on an older version and cannot pass.
    const bool fits = record.baseVersion == m_version;
    settings_report report;
    auto configuration = fits ? loadFleetConfiguration(record.document, report) : std::nullopt;
    if (configuration) {
        accept(record, next(m_version), std::move(*configuration));
        return { config_outcome::accepted, m_version, "" };
    }
    const auto replaced = std::ranges::find(m_changes, next(record.baseVersion), &accepted_change::version);
    if (replaced != m_changes.end() && replaced->id == record.id)
        return { config_outcome::duplicate, replaced->version, "a record with this id was accepted before" };
    if (const auto earlier = find(record.id))
        return { config_outcome::duplicate, earlier->version,
            "a record with this id was " + std::string(configOutcomeNames.name(earlier->outcome)) + " before" };
    const auto result = fits ? config_result { config_outcome::refused, m_version, "the document is not valid:\n" + toString(report) }
                             : explainStale(record);
    remember(record.id, result);
    return result;
}

void configuration_fold::accept(const config_record& record, config_version version, schema::fleet_configurationT configuration)
{
    const auto differences = differencesOf(m_configuration ? *m_configuration : schema::fleet_configurationT(), configuration);
    accepted_change change { version, record.id, record.author, {}, differences.size() };
    for (std::size_t i = 0; i < std::min(differences.size(), maxPathsPerChange); ++i)
        change.paths.push_back(differences[i].path);
    m_changes.push_back(std::move(change));
    if (m_changes.size() > m_limits.rememberedChanges)
        m_changes.pop_front();
    setState(version, std::move(configuration));
    m_lastAcceptedId = record.id;
    remember(record.id, { config_outcome::accepted, m_version, "" });
}

config_result configuration_fold::foldReset(log_offset offset, const config_record& record)
{
    settings_report report;
    auto configuration = loadFleetConfiguration(record.document, report);
    if (!configuration) {
        const config_result result { config_outcome::refused, m_version, "the document is not valid:\n" + toString(report) };
        remember(record.id, result);
        return result;
    }
    // The records before `offset` have raised the version to `offset` at most, so this version is new to every fold, also to
    // one that does not know all of them.
    m_changes.clear();
    accept(record, config_version(offset.value + 1), std::move(*configuration));
    return { config_outcome::accepted, m_version, "" };
}

config_result configuration_fold::explainStale(const config_record& record) const
{
    const std::string head
        = "the change is based on version " + number(record.baseVersion) + ", but version " + number(m_version) + " is in effect";
    if (record.baseVersion > m_version)
        return { config_outcome::refused, m_version, head };
    // The record can only have been accepted as the version that follows its base.
    auto change = std::ranges::find(m_changes, next(record.baseVersion), &accepted_change::version);
    if (change == m_changes.end())
        return { config_outcome::undetermined, m_version,
            head + "; this node no longer knows which record made version " + number(next(record.baseVersion))
                + "; compare the documents" };
    std::string text = head + "; since then ";
    for (; change != m_changes.end(); ++change)
        text += describe(*change) + (std::next(change) == m_changes.end() ? "" : "; ");
    return { config_outcome::refused, m_version, text };
}

std::string configuration_fold::describe(const accepted_change& change)
{
    std::string text = "version " + number(change.version) + ": " + change.author + " changed ";
    if (change.paths.empty())
        return text + "nothing";
    for (std::size_t i = 0; i < change.paths.size(); ++i)
        text += (i == 0 ? "" : ", ") + change.paths[i];
    if (change.pathCount > change.paths.size())
        text += " and " + std::to_string(change.pathCount - change.paths.size()) + " more";
    return text;
}

config_result configuration_fold::foldSnapshot(log_offset offset, const config_record& record) const
{
    if (*record.nextOffset > offset)
        return { config_outcome::refused, m_version,
            "the snapshot at offset " + number(offset) + " claims to cover offset " + number(*record.nextOffset) };
    if (record.baseVersion > m_version)
        return { config_outcome::refused, m_version,
            "the snapshot is of version " + number(record.baseVersion) + ", but the records before it give version " + number(m_version) };
    if (record.baseVersion == m_version && record.document != m_document)
        return { config_outcome::refused, m_version, "the snapshot differs from the document of version " + number(m_version) };
    return { config_outcome::snapshot, m_version, "" };
}

config_result configuration_fold::installSnapshot(config_version version, log_offset nextOffset, std::string_view document)
{
    const auto refuse = [&](const std::string& reason) {
        return config_result { config_outcome::refused, m_version,
            "state of version " + number(version) + " at offset " + number(nextOffset) + " " + reason + " the own state of version "
                + number(m_version) + " at offset " + number(m_nextOffset) };
    };
    if (version.value > nextOffset.value)
        return refuse("is impossible and cannot replace");
    if (version < m_version || nextOffset < m_nextOffset)
        return refuse(version > m_version ? "contradicts" : "is older than");
    if (nextOffset == m_nextOffset && version > m_version)
        return refuse("contradicts");
    std::optional<schema::fleet_configurationT> configuration;
    if (version.value > 0) {
        settings_report report;
        configuration = loadFleetConfiguration(document, report);
        if (!configuration)
            return { config_outcome::refused, m_version, "the document is not valid:\n" + toString(report) };
        if (version == m_version && toYaml(*configuration) != m_document)
            return refuse("contradicts");
    }
    if (version > m_version)
        takeState(version, std::move(configuration));
    m_nextOffset = nextOffset;
    if (m_waiting && nextOffset >= m_pendingBegin)
        replayPending();
    return { config_outcome::accepted, m_version, "" };
}

void configuration_fold::setState(config_version version, std::optional<schema::fleet_configurationT> configuration)
{
    m_version = version;
    m_document = configuration ? toYaml(*configuration) : "";
    m_configuration = configuration ? std::make_shared<const schema::fleet_configurationT>(std::move(*configuration)) : nullptr;
}

void configuration_fold::takeState(config_version version, std::optional<schema::fleet_configurationT> configuration)
{
    if (version > m_version) {
        m_changes.clear();
        m_lastAcceptedId.clear();
    }
    setState(version, std::move(configuration));
}

std::optional<config_result> configuration_fold::find(std::string_view id) const
{
    const auto found = m_results.find(std::string(id));
    return found == m_results.end() ? std::nullopt : std::optional(found->second);
}

void configuration_fold::remember(const std::string& id, const config_result& result)
{
    if (m_results.insert_or_assign(id, result).second)
        m_idOrder.push_back(id);
    if (m_idOrder.size() > m_limits.rememberedIds) {
        m_results.erase(m_idOrder.front());
        m_idOrder.pop_front();
    }
}

config_record configuration_fold::makeSnapshot(std::string id, std::string author) const
{
    if (m_waiting || !m_configuration)
        throw error(
            error_kind::conflict, "there is no configuration to write to a snapshot", "wait until the log or a peer has given a version");
    return { std::move(id), std::move(author), m_version, config_record_kind::snapshot, m_document, m_nextOffset };
}

} // namespace carawaylink
