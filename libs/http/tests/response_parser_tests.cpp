#include "response_parser.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <ranges>
#include <vector>

namespace carawaylink {
namespace {

constexpr std::size_t pieceBytes = 16384;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct parsed_response {
    response_parser::step end = response_parser::step::needs_bytes;
    http_response response { 0, {}, {} };
    std::string fault;
    std::size_t mostBuffered = 0;
    std::size_t received = 0;
    bool keepsConnection = false;
};

class response_parser_test : public testing::Test {
protected:
    // Parses what has been received; returns false once the response has ended.
    static bool parse(response_parser& parser, parsed_response& result)
    {
        while (true) {
            result.end = parser.next();
            switch (result.end) {
            case response_parser::step::needs_bytes:
                result.mostBuffered = std::max(result.mostBuffered, parser.bufferedBytes());
                return true;
            case response_parser::step::head:
                result.response.status = parser.head().status;
                result.response.headers = parser.head().headers;
                break;
            case response_parser::step::data:
                result.response.body += parser.data();
                break;
            case response_parser::step::complete:
                result.keepsConnection = parser.keepsConnection();
                return false;
            case response_parser::step::invalid:
                result.fault = parser.fault();
                return false;
            }
        }
    }

    // Parses the bytes in pieces of the given sizes, the last of which repeats.
    static parsed_response parsePieces(std::string_view bytes, const std::vector<std::size_t>& sizes)
    {
        response_parser parser(false);
        parsed_response result;
        for (std::size_t i = 0; !bytes.empty(); ++i) {
            const auto piece = bytes.substr(0, sizes[std::min(i, sizes.size() - 1)]);
            bytes.remove_prefix(piece.size());
            parser.append(piece);
            result.received += piece.size();
            if (!parse(parser, result))
                return result;
        }
        result.end = parser.finish();
        return result;
    }

    // Parses the start and then the same bytes again and again, for as long as the parser takes them, at most 64 MiB.
    static parsed_response parseEndless(const std::string& start, const std::string& repeated)
    {
        constexpr std::size_t maxBytes = 64U << 20;
        std::string piece;
        while (piece.size() < pieceBytes)
            piece += repeated;
        response_parser parser(false);
        parsed_response result;
        parser.append(start);
        while (parse(parser, result) && result.received < maxBytes) {
            parser.append(piece);
            result.received += piece.size();
        }
        return result;
    }
};

// The status 000 counted as one of an interim response, so that the body of the failure was parsed as the next response and could pass for
// a success.
TEST_F(response_parser_test, statusBelowAllClasses_isInvalid)
{
    const std::string body = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    for (const std::string status : { "000", "099" }) {
        const auto bytes = "HTTP/1.1 " + status + " S\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        EXPECT_EQ(parsePieces(bytes, { pieceBytes }).end, response_parser::step::invalid) << status;
    }
}

// Guards against memory that fills up with one part of a response that has no end, in whichever part of it.
TEST_F(response_parser_test, endlessPart_ofEachKind_endsAtItsLimitWithAFaultThatNamesIt)
{
    struct endless_part {
        std::string start;
        std::string repeated;
        std::string fault;
        std::size_t limit;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<endless_part> parts {
        { "HTTP/1.1 200 ", "x", "head exceeds", maxResponseHeaderBytes },
        { head + "X: ", "x", "head exceeds", maxResponseHeaderBytes },
        { head, "X: y\r\n", "head exceeds", maxResponseHeaderBytes },
        { "HTTP/1.1 100 Continue\r\n", "X: y\r\n", "head exceeds", maxResponseHeaderBytes },
        { "", "HTTP/1.1 100 Continue\r\n\r\n", "interim responses", maxResponseHeaderBytes },
        { chunkedHead, "x", "chunk does not begin with its size", maxChunkHeaderBytes },
        { chunkedHead, "0", "chunk header exceeds", maxChunkHeaderBytes },
        { chunkedHead, "1", "more than 15 digits", maxChunkHeaderBytes },
        { chunkedHead + "5;", "x", "chunk header exceeds", maxChunkHeaderBytes },
        { chunkedHead + "1\r\nx\r\n", "0", "chunk header exceeds", maxChunkHeaderBytes },
        { chunkedHead + "1\r\nx", "x", "does not end with", maxChunkHeaderBytes },
        { chunkedHead + "0\r\nX: ", "x", "trailers exceed", maxTrailerBytes },
        { chunkedHead + "0\r\n", "X: y\r\n", "trailers exceed", maxTrailerBytes },
    };
    for (const auto& part : parts) {
        const auto result = parseEndless(part.start, part.repeated);
        EXPECT_EQ(result.end, response_parser::step::invalid) << part.start << part.repeated;
        EXPECT_NE(result.fault.find(part.fault), std::string::npos) << part.start << part.repeated << " gave: " << result.fault;
        EXPECT_LE(result.received, part.limit + 2 * pieceBytes) << part.start << part.repeated;
    }
}

// Guards against a body without end that is kept here: each part of it is handed on, and nothing of it stays.
TEST_F(response_parser_test, endlessBody_ofEachKind_isNotKept)
{
    for (const std::string start : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n" }) {
        response_parser parser(false);
        parser.append(start);
        ASSERT_EQ(parser.next(), response_parser::step::head);
        for (int i = 0; i < 1000; ++i) {
            parser.append(std::string(pieceBytes, 'x'));
            ASSERT_EQ(parser.next(), response_parser::step::data);
            ASSERT_EQ(parser.bufferedBytes(), 0U);
        }
    }
}

// Guards against a process that ends, or a body that differs, because of how a response is split: the last chunk in three pieces ended it.
TEST_F(response_parser_test, response_splitInEachWay_isTheSame)
{
    const std::string chunks = "5\r\nhello\r\n0000a;name=\"value\"\r\n, all of y\r\n3 \r\nou!\r\n";
    const std::string head = "HTTP/1.1 100 Continue\r\n\r\n" + chunkedHead;
    for (const std::string& trailers : { std::string(), std::string("X: y\r\nZ: w\r\n") }) {
        const auto text = head + chunks + "0\r\n" + trailers + "\r\n";
        for (std::size_t first = 1; first < text.size(); ++first) {
            for (const std::size_t rest : { 1U, 2U, 3U, 7U, 1000U }) {
                const auto result = parsePieces(text, { first, rest });
                ASSERT_EQ(result.end, response_parser::step::complete) << first << ' ' << rest << ' ' << result.fault;
                ASSERT_EQ(result.response.body, "hello, all of you!");
                ASSERT_EQ(result.response.status, 200U);
                ASSERT_TRUE(result.keepsConnection);
            }
        }
        for (std::size_t size = 0; size < text.size(); ++size)
            EXPECT_EQ(parsePieces(text.substr(0, size), { 1000 }).end, response_parser::step::needs_bytes) << size;
    }
    const auto empty = parsePieces(chunkedHead + "0\r\n\r\n", { chunkedHead.size(), 3, 1 });
    EXPECT_EQ(empty.end, response_parser::step::complete);
}

// Guards against a response whose bytes after its end are taken for the next one, or whose chunks are read differently from the peer.
TEST_F(response_parser_test, malformedChunksAndSurplusBytes_areNotAccepted)
{
    EXPECT_FALSE(parsePieces(chunkedHead + "0\r\n\r\nHTTP/1.1 200 OK\r\n", { 1000 }).keepsConnection);
    for (const std::string chunks : { "\r\n", "g\r\n", "-1\r\n", "0x5\r\nhello\r\n", "5\nhello\r\n", "5\r\nhelloworld\r\n",
             "5\r\nhello\n0\r\n\r\n", "5;x\nhello\r\n", "0\r\n\nX: y\r\n\r\n", "0\r\nX: y\n\r\n", "100000000000000000\r\n" })
        EXPECT_EQ(parsePieces(chunkedHead + chunks, { 1000 }).end, response_parser::step::invalid) << chunks;
}

// Guards against an interim response that is taken for the final one.
TEST_F(response_parser_test, interimResponses_beforeAResponse_areSkipped)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    std::string text;
    for (unsigned i = 0; i < maxInterimResponses; ++i)
        text += interim;
    const auto result = parsePieces(text + "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", { 1 });
    EXPECT_EQ(result.response.status, 201U);
    EXPECT_EQ(result.response.body, "ok");
    EXPECT_EQ(result.response.headers.size(), 1U);
}

// Guards against a fault of the parser that only some bytes and splits show; the seed is part of the message.
TEST_F(response_parser_test, randomBytes_inRandomPieces_keepTheLimits)
{
    const std::vector<std::string> words { "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 7\r\n", "\r\n", "\r",
        "\n", "0", "0\r\n", "0\r\n\r\n", "5\r\nhello\r\n", "ffffffffffffffff", ";", "x", "HTTP/1.1 100 Continue\r\n\r\n",
        std::string(300, 'a') };
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937_64 random(seed);
        std::string text = random() % 2 == 0 ? chunkedHead : "";
        for (auto count = random() % 40; count > 0; --count)
            text += words[random() % words.size()];
        const auto whole = parsePieces(text, { text.size() + 1 });
        const auto split = parsePieces(text, { 1 + random() % 5, 1 + random() % 3 });
        ASSERT_EQ(whole.response.status, split.response.status) << "seed " << seed;
        // A fault in a head that is incomplete may be found now or not before its end.
        if (whole.response.status != 0) {
            ASSERT_EQ(whole.end, split.end) << "seed " << seed;
        }
        ASSERT_EQ(whole.response.body, split.response.body) << "seed " << seed;
        ASSERT_LE(split.mostBuffered, maxResponseHeaderBytes) << "seed " << seed;
    }
}

} // namespace
} // namespace carawaylink
