#include "ticket/ticket.h"

#include "base/error.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink {
namespace {

const key_ring::key oldKey { "2026-11", "0123456789abcdef" };
const key_ring::key newKey { "2026-12", "fedcba9876543210fedcba9876543210" };

ticket example()
{
    return { { node_id("10.1.0.1:7400"), incarnation(77) }, { node_id("[fd00::2]:7400"), incarnation(~0ULL) }, 123456789 };
}

error_kind kindOf(const std::function<void()>& action)
{
    try {
        action();
    } catch (const error& failure) {
        EXPECT_FALSE(failure.remedy().empty());
        return failure.kind();
    }
    ADD_FAILURE() << "nothing was thrown";
    return error_kind::internal;
}

class sealed_ticket : public testing::Test {
protected:
    key_ring m_ring { { newKey, oldKey } };
};

// Guards against fields that are lost or swapped by encoding and decoding.
RC_GTEST_FIXTURE_PROP(
    sealed_ticket, any_ticket_round_trips, (std::string home, std::string witness, std::uint64_t run, std::uint64_t sequence))
{
    const ticket value { { node_id(home.substr(0, 255)), incarnation(run) }, { node_id(witness.substr(0, 255)), incarnation(~run) },
        sequence };
    RC_ASSERT(m_ring.open(m_ring.seal(value)) == value);
}

// Guards against text that an HTTP header, a URL or a log line would alter.
TEST_F(sealed_ticket, text_has_only_safe_characters)
{
    const auto text = m_ring.seal(example());
    EXPECT_TRUE(
        std::ranges::all_of(text, [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '-' || c == '_'; }));
    EXPECT_LT(text.size(), 256U);
}

// Guards against accepting a ticket whose home, witness, sequence, key id or MAC was changed.
TEST_F(sealed_ticket, every_altered_character_is_refused)
{
    const auto text = m_ring.seal(example());
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char replacement : { 'A', 'B', '.', '=', '\n', '\0' }) {
            auto altered = text;
            altered[i] = replacement;
            if (altered != text) {
                EXPECT_EQ(kindOf([&] { m_ring.open(altered); }), error_kind::unauthorized) << i;
            }
        }
    }
}

// Guards against malformed text being read past its end or accepted.
TEST_F(sealed_ticket, malformed_text_is_refused)
{
    const auto text = m_ring.seal(example());
    const std::string prefix = "v1.2026-12.";
    for (const auto& malformed : { std::string(), std::string("..."), text.substr(0, text.size() - 1), text + "A", text + ".", " " + text,
             prefix + "." + text.substr(text.rfind('.') + 1), std::string(5000, 'A'), "v2" + text.substr(2) })
        EXPECT_EQ(kindOf([&] { m_ring.open(malformed); }), error_kind::unauthorized) << malformed;
}

// Guards against tickets that become invalid when the key is rotated.
TEST_F(sealed_ticket, rotated_key_still_verifies)
{
    const auto text = key_ring({ oldKey }).seal(example());
    EXPECT_EQ(m_ring.open(text), example());
    EXPECT_NE(m_ring.seal(example()), text) << "the first key seals";
}

// Guards against accepting a removed key, or another secret under a listed key id.
TEST_F(sealed_ticket, unlisted_key_is_refused)
{
    EXPECT_EQ(kindOf([&] { key_ring({ newKey }).open(key_ring({ oldKey }).seal(example())); }), error_kind::unauthorized);
    const key_ring sameId({ { newKey.id, "another secret of 32 bytes......" } });
    EXPECT_EQ(kindOf([&] { sameId.open(m_ring.seal(example())); }), error_kind::unauthorized);
}

// Guards against an error message that discloses the ticket, which is a credential.
TEST_F(sealed_ticket, refusal_does_not_contain_the_text)
{
    const auto text = m_ring.seal(example());
    try {
        key_ring({ oldKey }).open(text);
        FAIL();
    } catch (const error& failure) {
        EXPECT_EQ(std::string(failure.what()).find(text.substr(text.rfind('.'))), std::string::npos);
    }
}

// Guards against settings that cannot authenticate anything.
TEST_F(sealed_ticket, unusable_keys_are_refused)
{
    for (const auto& keys : std::vector<std::vector<key_ring::key>> { {}, { { "a", "short" } }, { newKey, newKey },
             { { "", newKey.secret } }, { { "a.b", newKey.secret } }, { { std::string(33, 'a'), newKey.secret } } })
        EXPECT_EQ(kindOf([&] { key_ring ring(keys); }), error_kind::invalid_settings);
}

// Guards against a length that overflows its one-byte field and shifts the fields after it.
TEST_F(sealed_ticket, long_node_id_is_refused)
{
    auto value = example();
    value.home.node.value.assign(256, 'n');
    EXPECT_EQ(kindOf([&] { m_ring.seal(value); }), error_kind::invalid_argument);
}

} // namespace
} // namespace carawaylink
