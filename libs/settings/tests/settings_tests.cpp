#include "settings/settings.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink {
namespace {

using testing::AllOf;
using testing::Contains;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::SizeIs;

const std::string keyHash(64, 'a');

const std::string validDaemon = R"(cluster: oduya
node_address: 127.0.0.1:7701
http_address: 127.0.0.1:8701
failure_domain: lagos-a
region: sw-ng
log_address: 127.0.0.1:7600
cluster_keys:
  - id: k1
    secret: sixteen-bytes-ok
)";

const std::string validFleet = R"(tiers:
  - {level: 0, name: urgent}
  - {level: 1, name: normal}
teams:
  - name: choir-1
    weight: 2.5
    key_sha256: [)"
    + keyHash + R"(]
services:
  - name: rota-llm
    models: [rota]
  - name: rota-app
    kind: plain
)";

auto faultAt(const std::string& field)
{
    return Field(&settings_fault::field, field);
}
auto fault(std::size_t line, const std::string& field, const std::string& message)
{
    return AllOf(Field(&settings_fault::line, line), faultAt(field), Field(&settings_fault::message, HasSubstr(message)),
        Field(&settings_fault::remedy, testing::Not(IsEmpty())));
}

std::vector<settings_fault> daemonFaults(const std::string& text)
{
    settings_report report;
    const bool isLoaded = loadDaemonSettings(text, report).has_value();
    EXPECT_EQ(isLoaded, report.faults.empty());
    return report.faults;
}

std::vector<settings_fault> fleetFaults(const std::string& text)
{
    settings_report report;
    const bool isLoaded = loadFleetConfiguration(text, report).has_value();
    EXPECT_EQ(isLoaded, report.faults.empty());
    return report.faults;
}

std::string with(const std::string& text, const std::string& from, const std::string& to)
{
    std::string result = text;
    const auto position = result.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return result.replace(position, from.size(), to);
}

class daemon_settings_reading : public testing::Test { };

// Guards against a minimal file being refused, or its absent tables being null pointers in the daemon.
TEST_F(daemon_settings_reading, minimal_file_gets_defaults)
{
    settings_report report;
    const auto settings = loadDaemonSettings(validDaemon, report);
    ASSERT_TRUE(settings) << toString(report);
    EXPECT_EQ(settings->timing->heartbeat_ms, 250U);
    EXPECT_EQ(settings->limits->max_connections, 20000U);
    EXPECT_EQ(settings->policy, schema::scheduling_policy::pool);
    EXPECT_EQ(settings->tls, nullptr);
}

// Guards against values of a file being replaced by defaults.
TEST_F(daemon_settings_reading, given_values_override_defaults)
{
    settings_report report;
    const auto settings
        = loadDaemonSettings(validDaemon + "policy: power_of_two\nseeds: [127.0.0.1:7702]\ntiming: {heartbeat_ms: 100}\n", report);
    ASSERT_TRUE(settings) << toString(report);
    EXPECT_EQ(settings->timing->heartbeat_ms, 100U);
    EXPECT_EQ(settings->policy, schema::scheduling_policy::power_of_two);
    EXPECT_THAT(settings->seeds, ElementsAre("127.0.0.1:7702"));
}

// Guards against an operator having to correct one fault per run.
TEST_F(daemon_settings_reading, several_faults_all_reported_in_line_order)
{
    const auto faults
        = daemonFaults("clustr: oduya\nnode_address: 127.0.0.1:7701\nio_threads: many\npolicy: pol\ntiming:\n  heartbeat_ms: 5\n");
    EXPECT_TRUE(std::ranges::is_sorted(faults, {}, &settings_fault::line));
    EXPECT_THAT(faults, Contains(fault(1, "clustr", "unknown key")));
    EXPECT_THAT(faults, Contains(Field(&settings_fault::remedy, "did you mean \"cluster\"?")));
    EXPECT_THAT(faults, Contains(fault(3, "io_threads", "\"many\" is not a whole number")));
    EXPECT_THAT(faults, Contains(fault(4, "policy", "pool, round_robin, least_load, power_of_two")));
    EXPECT_THAT(faults, Contains(fault(6, "timing.heartbeat_ms", "10 to 60000 ms")));
    for (const auto* field : { "cluster", "http_address", "failure_domain", "region", "log_address", "cluster_keys" })
        EXPECT_THAT(faults, Contains(AllOf(faultAt(field), Field(&settings_fault::message, "is missing"))));
}

// Guards against unreachable or ambiguous addresses, which otherwise show up only as silent peers.
TEST_F(daemon_settings_reading, bad_addresses_are_faults)
{
    for (const auto* address : { "127.0.0.1", "127.0.0.1:70000", "localhost:80", "127.0.0.1:+5", "0.0.0.0:7701", ":7701", "[::]:1" })
        EXPECT_THAT(
            daemonFaults(with(validDaemon, "127.0.0.1:7701", std::string("\"") + address + "\"")), ElementsAre(faultAt("node_address")))
            << address;
    EXPECT_THAT(daemonFaults(with(validDaemon, "127.0.0.1:7600", "127.0.0.1:0")), ElementsAre(faultAt("log_address")));
    EXPECT_THAT(daemonFaults(with(validDaemon, "127.0.0.1:8701", "127.0.0.1:7701")),
        ElementsAre(fault(3, "http_address", "also the node address")));
    EXPECT_THAT(daemonFaults(with(with(validDaemon, "127.0.0.1:8701", "127.0.0.1:0"), "127.0.0.1:7701", "127.0.0.1:0")), IsEmpty());
}

// Guards against short secrets and against secrets being copied into error messages.
TEST_F(daemon_settings_reading, short_secret_is_fault_without_the_secret)
{
    const auto faults = daemonFaults(with(validDaemon, "sixteen-bytes-ok", "tooshort"));
    ASSERT_THAT(faults, ElementsAre(fault(9, "cluster_keys[0].secret", "8 bytes")));
    EXPECT_EQ(toString(faults[0]).find("tooshort"), std::string::npos);
}

class fleet_configuration_reading : public testing::Test { };

// Guards against the checks refusing a sound configuration.
TEST_F(fleet_configuration_reading, valid_file_is_accepted)
{
    EXPECT_THAT(fleetFaults(validFleet), IsEmpty());
}

// Guards against broken files crashing the reader or being taken for an empty configuration.
TEST_F(fleet_configuration_reading, broken_text_is_one_fault_with_line)
{
    for (const auto& text :
        std::vector<std::string> { "tiers: [", "a: b: c", "\xff\xfe", "\t- x", "tiers: *nothing", validFleet + "# \x04\nmore: text\n" })
        EXPECT_THAT(fleetFaults(text), SizeIs(1)) << text;
    for (const std::string text : { "- 1", "? [a]\n: b", "" })
        EXPECT_FALSE(fleetFaults(text).empty()) << text;
    EXPECT_THAT(fleetFaults(std::string(1100000, ' ')), Contains(Field(&settings_fault::message, HasSubstr("1100000 bytes"))));
    EXPECT_THAT(fleetFaults(validFleet + "teams: []\n"), Contains(Field(&settings_fault::message, HasSubstr("given twice"))));
}

// Guards against texts that yaml-cpp writes but does not read back, and that terminals act on.
TEST_F(fleet_configuration_reading, control_characters_are_faults)
{
    for (const std::string text : { "\\r", "\\x01", "\\x7f", "\\x85", "\\uFEFF", "\\0" })
        EXPECT_THAT(fleetFaults(with(validFleet, "name: rota-llm", "name: \"a" + text + "b\"")),
            ElementsAre(fault(9, "services[0].name", "control")))
            << text;
}

// Guards against a short text that stands for billions of values, and against a list of faults without end.
TEST_F(fleet_configuration_reading, aliases_and_faults_are_bounded)
{
    std::string text = "teams:\n  - &t {name: a, key_sha256: [";
    for (int i = 0; i < 10000; ++i)
        text += "x,";
    text += "]}\n";
    for (int i = 0; i < 10000; ++i)
        text += "  - *t\n";
    const auto faults = fleetFaults(text);
    EXPECT_LE(faults.size(), 1001U);
    EXPECT_THAT(faults, Contains(Field(&settings_fault::message, HasSubstr("more than 500000 values"))));
}

struct fleet_mistake {
    std::string from;
    std::string to;
    std::string field;
    std::string message;

    friend std::ostream& operator<<(std::ostream& out, const fleet_mistake& self) { return out << self.to << " -> " << self.field; }
};

class fleet_mistakes : public testing::TestWithParam<fleet_mistake> { };

// Guards against a configuration that cannot be put into effect being accepted by the whole fleet.
TEST_P(fleet_mistakes, mistake_is_one_fault_at_its_field)
{
    const auto& mistake = GetParam();
    const auto faults = fleetFaults(with(validFleet, mistake.from, mistake.to));
    ASSERT_THAT(faults, SizeIs(1)) << mistake.to;
    EXPECT_EQ(faults[0].field, mistake.field);
    EXPECT_THAT(faults[0].message, HasSubstr(mistake.message));
    EXPECT_GT(faults[0].line, 0U);
    EXPECT_FALSE(faults[0].remedy.empty());
}

std::string exceptionWith(const std::string& change)
{
    const std::string valid
        = "exceptions:\n  - {id: e1, scope: team, target: choir-1, setting: pool_size, value: 8, reason: r, author: a}\n";
    const auto colon = change.find(':');
    const auto start = valid.find(change.substr(0, colon + 1));
    return valid.substr(0, start) + change + valid.substr(valid.find_first_of(",}", start)) + "services:";
}

INSTANTIATE_TEST_SUITE_P(all, fleet_mistakes,
    testing::Values(fleet_mistake { "level: 1", "level: 2", "tiers", "level 1 is missing" },
        fleet_mistake { "level: 1", "level: 0", "tiers[1].level", "also the level of" },
        fleet_mistake { "weight: 2.5", "default_tier: 7", "teams[0].default_tier", "tier 7 is not defined" },
        fleet_mistake { "weight: 2.5", "weight: 0", "teams[0].weight", "0.001 to 1000" },
        fleet_mistake { "weight: 2.5", "weight: nan", "teams[0].weight", "not a number" },
        fleet_mistake { "weight: 2.5", "weight: \"2\"", "teams[0].weight", "quoted" },
        fleet_mistake { "name: rota-app", "name: rota-llm", "services[1].name", "also the name of services[0]" },
        fleet_mistake { keyHash, "zz", "teams[0].key_sha256[0]", "not a SHA-256" },
        fleet_mistake { "kind: plain", "models: [rota]", "services[1].models", "already served" },
        fleet_mistake { "services:", exceptionWith("target: choir-9"), "exceptions[0].target", "no team \"choir-9\"" },
        fleet_mistake { "services:", exceptionWith("setting: pol_size"), "exceptions[0].setting", "no field" },
        fleet_mistake { "services:", exceptionWith("value: 0"), "exceptions[0].value", "1 to 1024 endpoints" },
        fleet_mistake { "services:", exceptionWith("reason: ''"), "exceptions[0].reason", "empty" },
        fleet_mistake { "services:", exceptionWith("author: ' '"), "exceptions[0].author", "blank" },
        fleet_mistake { "services:", exceptionWith("scope: teem"), "exceptions[0].scope", "service, team, endpoint" },
        fleet_mistake { "services:", exceptionWith("author: a, expires: tomorrow"), "exceptions[0].expires", "not a time" }));

class fleet_configuration_writing : public testing::Test { };

rc::Gen<std::string> anyText()
{
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(
                            rc::gen::element<std::string>("a", "Z", "0", " ", ":", "#", "\n", "\t", "\"", "'", "-", "~", "null", "é", "\\",
                                "{", "]", "&", "*", "!", "%", "@", "`", ",", "?", "|", "\xe2\x80\xa8", "yes", "1e3", "\xf0\x9f\x8e\xb5")),
        [](const std::vector<std::string>& pieces) {
            std::string text = "x";
            for (const auto& piece : pieces)
                text += piece;
            return text.substr(text.size() > 2 ? 1 : 0);
        });
}

// Guards against texts and numbers that change when a configuration is written to the log and read back.
RC_GTEST_FIXTURE_PROP(fleet_configuration_writing, written_configuration_reads_back_equal, ())
{
    settings_report report;
    auto configuration = *loadFleetConfiguration(validFleet, report);
    configuration.services[0]->models = { *anyText() };
    configuration.services[0]->version = *anyText();
    configuration.tiers[0]->name = *anyText() + "0";
    configuration.teams[0]->weight = 0.001 + *rc::gen::inRange(0, 999999) / 1013.0;
    configuration.defaults->straggler_factor = 1.05 + *rc::gen::inRange(0, 690) / 7.0;
    configuration.defaults->preemption = *rc::gen::arbitrary<bool>();
    configuration.defaults->max_waiting_per_team = *rc::gen::inRange(1U, 1000001U);
    const std::string text = toYaml(configuration);
    const auto again = loadFleetConfiguration(text, report);
    RC_LOG() << text << toString(report);
    RC_ASSERT(again.has_value());
    RC_ASSERT(flattenConfiguration(*again) == flattenConfiguration(configuration));
    RC_ASSERT(toYaml(*again) == text);
}

class fleet_defaults_changes : public testing::Test { };

// Guards against an exception changing another field than the one it names, or a bad value changing anything.
TEST_F(fleet_defaults_changes, named_field_only_is_changed)
{
    schema::fleet_defaultsT defaults;
    EXPECT_FALSE(setDefault(defaults, "long_slot_share", "0.25"));
    EXPECT_FALSE(setDefault(defaults, "preemption", "false"));
    EXPECT_TRUE(setDefault(defaults, "pool_size", "-1"));
    EXPECT_TRUE(setDefault(defaults, "pool_sizes", "1"));
    EXPECT_EQ(defaults.long_slot_share, 0.25);
    EXPECT_FALSE(defaults.preemption);
    EXPECT_EQ(defaults.pool_size, 64U);
    EXPECT_EQ(defaults.straggler_factor, 2.5);
}

// Guards against expiry times being read in another zone or on a day that does not exist.
TEST_F(fleet_defaults_changes, utc_time_is_read_exactly)
{
    EXPECT_EQ(parseUtcTime("1970-01-02T00:00:01Z")->time_since_epoch().count(), 86401);
    for (const auto* text : { "2027-02-29T00:00:00Z", "2027-01-01T24:00:00Z", "2027-01-01T00:00:00+01:00", "2027-01-01", "" })
        EXPECT_FALSE(parseUtcTime(text)) << text;
}

} // namespace
} // namespace carawaylink
