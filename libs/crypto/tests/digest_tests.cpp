#include "crypto/digest.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

class digests : public testing::Test { };

// Guards against SHA-256 hashes of configured keys that differ from those of other tools (FIPS 180-2, appendix B.1).
TEST_F(digests, fips_test_vector_gives_published_sha256)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a MAC that is not HMAC-SHA256 (RFC 4231, test case 2).
TEST_F(digests, rfc_test_vector_gives_published_hmac)
{
    const auto mac = hmacSha256("Jefe", "what do ya want for nothing?");
    EXPECT_EQ(mac[0], 0x5b);
    EXPECT_EQ(mac[31], 0x43);
}

// Guards against a truncated or altered secret passing the comparison.
TEST_F(digests, equality_requires_same_length_and_content)
{
    EXPECT_TRUE(equalInConstantTime("secret", "secret"));
    EXPECT_FALSE(equalInConstantTime("secret", "secres"));
    EXPECT_FALSE(equalInConstantTime("secret", "secre"));
}

} // namespace
} // namespace carawaylink
