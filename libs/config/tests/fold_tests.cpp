#include "config/difference.h"
#include "config/exceptions.h"
#include "config/fold.h"

#include "base/error.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

std::string documentWith(double weight, const std::string& exceptions = "")
{
    settings_report report;
    const auto configuration
        = loadFleetConfiguration("tiers: [{level: 0, name: urgent}, {level: 1, name: normal}]\nteams: [{name: choir-1, weight: "
                + std::to_string(weight) + "}]\nservices: [{name: rota-app, kind: plain}]\n" + exceptions,
            report);
    EXPECT_TRUE(configuration) << toString(report);
    return toYaml(*configuration);
}

config_record change(const std::string& id, std::uint64_t base, const std::string& document)
{
    return { id, "ana", config_version(base), config_record_kind::change, document, std::nullopt };
}

/// A log in memory; the position in the vector is the offset.
using record_list = std::vector<config_record>;

class configuration_folds : public testing::Test {
protected:
    config_result append(const config_record& record)
    {
        m_log.push_back(record);
        return m_fold.apply(log_offset(m_log.size() - 1), toJson(record));
    }

    record_list m_log;
    configuration_fold m_fold;
};

// Guards against a lost update: the later of two racing changes silently undoing the earlier one.
TEST_F(configuration_folds, racing_change_is_refused_with_what_changed)
{
    append(change("a", 0, documentWith(1)));
    EXPECT_EQ(append(change("b", 1, documentWith(2))).outcome, config_outcome::accepted);
    const auto result = append(change("c", 1, documentWith(3)));
    EXPECT_EQ(result.outcome, config_outcome::refused);
    EXPECT_THAT(result.message, HasSubstr("since then version 2: ana changed teams[choir-1].weight"));
    EXPECT_EQ(m_fold.version(), config_version(2));
    EXPECT_EQ(m_fold.document(), documentWith(2));
    EXPECT_EQ(m_fold.lastAcceptedId(), "b");
    EXPECT_EQ(m_fold.find("c")->outcome, config_outcome::refused);
}

// Guards against a repeated append, after a lost answer, being applied twice or reported as refused.
TEST_F(configuration_folds, repeated_append_keeps_the_first_result)
{
    append(change("a", 0, documentWith(1)));
    append(change("b", 1, documentWith(2)));
    EXPECT_EQ(append(change("a", 0, documentWith(1))).outcome, config_outcome::duplicate);
    EXPECT_EQ(m_fold.find("a")->outcome, config_outcome::accepted);
    EXPECT_EQ(m_fold.find("a")->version, config_version(1));
    EXPECT_EQ(m_fold.version(), config_version(2));
}

// Guards against nodes disagreeing about a repetition: only some of them remember that it was refused before.
TEST_F(configuration_folds, repetition_that_fits_now_is_decided_alike_by_an_old_and_a_new_fold)
{
    const auto premature = change("p", 1, documentWith(5));
    EXPECT_EQ(append(premature).outcome, config_outcome::refused);
    append(change("a", 0, documentWith(1)));
    configuration_fold late;
    late.installSnapshot(m_fold.version(), m_fold.stateOffset(), m_fold.document());
    const auto byOld = append(premature);
    const auto byNew = late.apply(log_offset(2), toJson(premature));
    EXPECT_EQ(byOld.outcome, byNew.outcome);
    EXPECT_EQ(m_fold.version(), late.version());
    EXPECT_EQ(m_fold.document(), late.document());
}

// Guards against a node that started late telling an operator that an accepted change was refused.
TEST_F(configuration_folds, repetition_older_than_the_fold_is_undetermined)
{
    append(change("a", 0, documentWith(1)));
    configuration_fold late;
    EXPECT_EQ(late.installSnapshot(m_fold.version(), m_fold.stateOffset(), m_fold.document()).outcome, config_outcome::accepted);
    EXPECT_EQ(late.apply(log_offset(1), toJson(change("a", 0, documentWith(1)))).outcome, config_outcome::undetermined);
    EXPECT_EQ(late.version(), config_version(1));
}

// Guards against malformed records or invalid documents stopping the fold or taking effect.
TEST_F(configuration_folds, bad_records_are_refused_and_skipped)
{
    EXPECT_THAT(append(change("a", 0, "teams: 5")).message, HasSubstr("line 1: teams: is a single value, not a list"));
    std::uint64_t offset = 1;
    for (const std::string data :
        { "", "[]", "{\"id\":5}", R"({"id":"x\u001b","author":"y","base_version":0,"kind":"change","document":"d"})",
            R"({"id":"x","author":"y","base_version":-1,"kind":"change","document":"d"})",
            R"({"id":"x","author":"y","base_version":0,"kind":"other","document":"d"})",
            R"({"id":"x","author":"y","base_version":1,"kind":"snapshot","document":"d"})" })
        EXPECT_EQ(m_fold.apply(log_offset(offset++), data).outcome, config_outcome::refused) << data;
    EXPECT_EQ(m_fold.apply(log_offset(offset), toJson(change("b", 0, documentWith(1)))).outcome, config_outcome::accepted);
}

// Guards against a node deciding about changes although it does not know the version they met.
TEST_F(configuration_folds, gap_stops_decisions_until_a_covering_snapshot)
{
    append(change("a", 0, documentWith(1)));
    const auto early = m_fold.makeSnapshot("s1", "node");
    append(change("b", 1, documentWith(2)));
    configuration_fold late;
    // The snapshot was taken before "b" was folded, and "b" is gone: version 1 would be wrong here.
    EXPECT_EQ(late.apply(log_offset(2), toJson(early)).outcome, config_outcome::pending);
    EXPECT_TRUE(late.needsSnapshot());
    EXPECT_EQ(late.apply(log_offset(3), toJson(change("c", 2, documentWith(3)))).outcome, config_outcome::pending);
    append(early);
    append(change("c", 2, documentWith(3)));
    EXPECT_EQ(late.apply(log_offset(4), toJson(m_fold.makeSnapshot("s2", "node"))).outcome, config_outcome::snapshot);
    EXPECT_FALSE(late.needsSnapshot());
    EXPECT_EQ(late.version(), config_version(3));
    EXPECT_EQ(late.document(), m_fold.document());
    EXPECT_EQ(late.find("c")->outcome, config_outcome::undetermined);
}

// Guards against a snapshot in a damaged log setting a node that missed records back to an older version.
TEST_F(configuration_folds, gap_older_snapshot_keeps_the_version_in_effect)
{
    append(change("a", 0, documentWith(1)));
    auto older = m_fold.makeSnapshot("s", "node");
    append(change("b", 1, documentWith(2)));
    older.nextOffset = log_offset(9);
    EXPECT_EQ(m_fold.apply(log_offset(9), toJson(older)).outcome, config_outcome::pending);
    EXPECT_EQ(m_fold.version(), config_version(2));
    EXPECT_EQ(m_fold.document(), documentWith(2));
}

// Guards against a fleet in which every node waits for a snapshot that none can write, because all missed the same records.
TEST_F(configuration_folds, reset_after_a_gap_is_in_force_everywhere)
{
    append(change("a", 0, documentWith(1)));
    append(change("b", 1, documentWith(2)));
    configuration_fold behind;
    behind.apply(log_offset(0), toJson(m_log[0]));
    auto reset = change("r", 0, documentWith(3));
    reset.kind = config_record_kind::reset;
    for (auto* fold : { &m_fold, &behind }) {
        EXPECT_EQ(fold->apply(log_offset(7), toJson(change("c", 2, documentWith(4)))).outcome, config_outcome::pending);
        EXPECT_EQ(fold->apply(log_offset(8), toJson(reset)).outcome, config_outcome::accepted);
        EXPECT_FALSE(fold->needsSnapshot());
        EXPECT_EQ(fold->version(), config_version(9));
        EXPECT_EQ(fold->document(), documentWith(3));
        EXPECT_EQ(fold->nextOffset(), log_offset(9));
        EXPECT_EQ(fold->find("r")->outcome, config_outcome::accepted);
        EXPECT_EQ(fold->find("c")->outcome, config_outcome::undetermined);
    }
}

// Guards against a lagging peer setting a node back to an older version.
TEST_F(configuration_folds, older_state_of_a_peer_is_refused)
{
    append(change("a", 0, documentWith(1)));
    append(change("b", 1, documentWith(2)));
    EXPECT_EQ(m_fold.installSnapshot(config_version(1), log_offset(1), documentWith(1)).outcome, config_outcome::refused);
    EXPECT_EQ(m_fold.installSnapshot(config_version(1), log_offset(9), documentWith(1)).outcome, config_outcome::refused);
    EXPECT_EQ(m_fold.installSnapshot(config_version(2), log_offset(2), documentWith(1)).outcome, config_outcome::refused);
    EXPECT_EQ(m_fold.installSnapshot(config_version(9), log_offset(9), "teams: 1").outcome, config_outcome::refused);
    EXPECT_EQ(m_fold.document(), documentWith(2));
    EXPECT_EQ(m_fold.nextOffset(), log_offset(2));
}

// Guards against a forged or broken snapshot in the log changing what the records before it gave.
TEST_F(configuration_folds, snapshot_in_a_complete_log_changes_nothing)
{
    append(change("a", 0, documentWith(1)));
    auto forged = m_fold.makeSnapshot("s", "node");
    forged.baseVersion = config_version(7);
    EXPECT_EQ(append(forged).outcome, config_outcome::refused);
    forged.baseVersion = config_version(1);
    forged.document = documentWith(9);
    EXPECT_EQ(append(forged).outcome, config_outcome::refused);
    EXPECT_EQ(m_fold.version(), config_version(1));
    EXPECT_EQ(m_fold.document(), documentWith(1));
}

// Guards against memory that grows with the number of records.
TEST_F(configuration_folds, memory_of_ids_and_pending_records_is_bounded)
{
    configuration_fold fold({ .rememberedIds = 2, .rememberedChanges = 1, .pendingBytes = 1000 });
    for (std::uint64_t i = 0; i < 3; ++i)
        fold.apply(log_offset(i), toJson(change(std::to_string(i), i, documentWith(1))));
    EXPECT_FALSE(fold.find("0"));
    EXPECT_TRUE(fold.find("2"));
    EXPECT_EQ(fold.apply(log_offset(3), toJson(change("0", 0, documentWith(1)))).outcome, config_outcome::undetermined);
    for (std::uint64_t i = 10; i < 100; ++i)
        fold.apply(log_offset(i), toJson(change(std::to_string(i), i, documentWith(1))));
    EXPECT_EQ(fold.nextOffset(), log_offset(100));
    EXPECT_EQ(fold.version(), config_version(3));
}

/// One history of the log: what racing operators, repeated appends and lagging nodes put there.
record_list anyLog()
{
    record_list log;
    std::vector<configuration_fold> states(1);
    const std::vector<std::string> documents { documentWith(1), documentWith(2), documentWith(3), "teams: 5" };
    const auto count = *rc::gen::inRange<std::size_t>(1, 25);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& seen = states[states.size() - 1 - *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(states.size(), 4))];
        const auto kind = *rc::gen::weightedElement<int>({ { 10, 0 }, { 6, 1 }, { 6, 2 }, { 4, 3 }, { 1, 4 } });
        if (kind == 1 && !log.empty())
            log.push_back(log[*rc::gen::inRange<std::size_t>(0, log.size())]);
        else if (kind == 2 && seen.version().value > 0)
            log.push_back(seen.makeSnapshot("s" + std::to_string(i), "node"));
        else
            log.push_back(change("c" + std::to_string(i), seen.version().value + (kind == 3 ? 1 : 0), *rc::gen::elementOf(documents)));
        if (kind == 4)
            log.back().kind = config_record_kind::reset;
        states.push_back(states.back());
        states.back().apply(log_offset(i), toJson(log.back()));
    }
    return log;
}

class configuration_fold_properties : public testing::Test { };

/// Version and document after the first `count` records, by the rule of the design page alone.
std::pair<std::uint64_t, std::string> expectedState(const record_list& log, std::size_t count)
{
    std::pair<std::uint64_t, std::string> state { 0, "" };
    for (std::size_t i = 0; i < count; ++i) {
        settings_report report;
        if (log[i].kind == config_record_kind::reset && loadFleetConfiguration(log[i].document, report))
            state = { i + 1, log[i].document };
        else if (log[i].kind == config_record_kind::change && log[i].baseVersion.value == state.first
            && loadFleetConfiguration(log[i].document, report))
            state = { state.first + 1, log[i].document };
    }
    return state;
}

/// Applies the rest of the log and checks the state after each record, unless the fold waits for a snapshot.
void checkRest(configuration_fold fold, const record_list& log, std::size_t first)
{
    for (std::size_t offset = first; offset < log.size(); ++offset) {
        const auto before = fold.version();
        fold.apply(log_offset(offset), toJson(log[offset]));
        fold.apply(log_offset(offset), toJson(log[offset]));
        RC_ASSERT(fold.version() >= before);
        RC_ASSERT(fold.nextOffset() == log_offset(offset + 1));
        const bool isCovered = std::ranges::any_of(log.begin() + static_cast<std::ptrdiff_t>(first),
            log.begin() + static_cast<std::ptrdiff_t>(offset) + 1, [&](const config_record& record) {
                return record.kind == config_record_kind::reset ? record.document != "teams: 5"
                                                                : record.nextOffset && *record.nextOffset >= log_offset(first);
            });
        RC_ASSERT(!fold.needsSnapshot() || !isCovered);
        if (!fold.needsSnapshot())
            RC_ASSERT(expectedState(log, offset + 1) == std::pair(fold.version().value, fold.document()));
    }
}

// Guards against nodes disagreeing about the version because they began to read the log at different places.
RC_GTEST_FIXTURE_PROP(configuration_fold_properties, every_start_gives_the_state_of_the_full_fold, ())
{
    const auto log = anyLog();
    const auto seen = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    const auto first = *rc::gen::inRange<std::size_t>(seen, log.size() + 1);
    configuration_fold full;
    checkRest(full, log, 0);
    for (std::size_t offset = 0; offset < seen; ++offset)
        full.apply(log_offset(offset), toJson(log[offset]));
    // A node that was away while the log was truncated, and one that starts on the truncated log.
    checkRest(full, log, first);
    checkRest(configuration_fold(), log, first);
    // A node that takes the state of a peer, before the log answers and while it waits for a snapshot.
    configuration_fold fresh;
    RC_ASSERT(fresh.installSnapshot(full.version(), full.stateOffset(), full.document()).outcome == config_outcome::accepted);
    checkRest(fresh, log, seen);
    configuration_fold waiting;
    const auto waitFrom = *rc::gen::inRange<std::size_t>(0, seen + 1);
    for (std::size_t offset = waitFrom; offset < log.size(); ++offset)
        waiting.apply(log_offset(offset), toJson(log[offset]));
    waiting.installSnapshot(full.version(), full.stateOffset(), full.document());
    RC_ASSERT(!waiting.needsSnapshot());
    RC_ASSERT(expectedState(log, log.size()) == std::pair(waiting.version().value, waiting.document()));
}

class exception_resolution : public testing::Test { };

// Guards against expired exceptions staying in force, and exceptions reaching other targets.
TEST_F(exception_resolution, unexpired_exception_of_the_target_applies)
{
    settings_report report;
    const auto configuration = *loadFleetConfiguration(documentWith(1, R"(exceptions:
  - {id: e1, scope: team, target: choir-1, setting: max_waiting_per_team, value: 5, reason: r, author: a, expires: "2027-01-01T00:00:00Z"}
  - {id: e2, scope: service, target: rota-app, setting: preemption, value: "false", reason: r, author: a}
)"),
        report);
    const auto expiry = *parseUtcTime("2027-01-01T00:00:00Z");
    const auto before = expiry - std::chrono::seconds(1);
    EXPECT_EQ(resolveDefaults(configuration, schema::exception_scope::team, "choir-1", before).max_waiting_per_team, 5U);
    EXPECT_EQ(resolveDefaults(configuration, schema::exception_scope::team, "choir-1", expiry).max_waiting_per_team, 2000U);
    EXPECT_EQ(resolveDefaults(configuration, schema::exception_scope::team, "choir-2", before).max_waiting_per_team, 2000U);
    EXPECT_TRUE(resolveDefaults(configuration, schema::exception_scope::team, "choir-1", before).preemption);
    EXPECT_FALSE(resolveDefaults(configuration, schema::exception_scope::service, "rota-app", expiry).preemption);
    EXPECT_EQ(nextExpiry(configuration, before), expiry);
    EXPECT_EQ(nextExpiry(configuration, expiry), std::nullopt);
}

class configuration_differences : public testing::Test { };

// Guards against an operator applying a change that the shown difference leaves out.
TEST_F(configuration_differences, changes_are_named_by_path)
{
    settings_report report;
    const auto before = *loadFleetConfiguration(documentWith(1), report);
    auto after = before;
    EXPECT_THAT(diffConfigurations(before, after), IsEmpty());
    after.teams[0]->weight = 2;
    after.teams[0]->key_sha256 = { "k" };
    after.tiers.pop_back();
    EXPECT_THAT(diffConfigurations(before, after),
        ElementsAre("+ teams[choir-1].key_sha256: [k]", "~ teams[choir-1].weight: 1 -> 2", "- tiers[1].deadline_ms: 30000",
            "- tiers[1].level: 1", "- tiers[1].name: normal"));
    after = before;
    std::swap(after.tiers[0], after.tiers[1]);
    EXPECT_THAT(diffConfigurations(before, after), ElementsAre("~ tiers (order): urgent, normal -> normal, urgent"));
}

} // namespace
} // namespace carawaylink
