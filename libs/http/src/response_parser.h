#pragma once

#include "chunked_decoder.h"
#include "http/message.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace carawaylink {

/// Limit of the status line and headers of a response, and of each interim response before it.
inline constexpr std::uint32_t maxResponseHeaderBytes = 65536;
/// Limit of the interim (1xx) responses before a response.
inline constexpr unsigned maxInterimResponses = 8;

/// Parses one response as its bytes arrive, with a limit for each part of it but the body, which it hands on without keeping it. Does no
/// I/O.
///
///     parser.append(received);
///     for (auto step = parser.next(); step != response_parser::step::needs_bytes; step = parser.next()) ...
class response_parser {
public:
    enum class step {
        needs_bytes,
        /// head() is known; returned once, before the body.
        head,
        /// data() is the next part of the body, valid until the next call.
        data,
        complete,
        /// The bytes are no response, or a part exceeds its limit; see fault().
        invalid,
    };

    /// answersHead: the request was a HEAD request, whose response has no body.
    explicit response_parser(bool answersHead);

    void append(std::string_view received);
    step next();
    /// The peer closed the connection. Returns complete if that ends the response, and needs_bytes if it is incomplete.
    step finish() const;

    const http_response& head() const { return m_head; }
    std::string_view data() const { return m_data; }
    std::string_view fault() const { return m_fault; }
    /// Bytes that were received and not parsed yet.
    std::size_t bufferedBytes() const { return m_buffer.size() - m_position; }
    /// Whether another request may follow on the connection, once the response is complete.
    bool keepsConnection() const { return m_parser->keep_alive() && bufferedBytes() == 0; }

private:
    using head_parser = boost::beast::http::response_parser<boost::beast::http::empty_body>;

    enum class framing {
        none,
        length,
        chunked,
        /// The body ends with the connection.
        connection,
    };

    void restart();
    step parseHead();
    step completeHead();
    step parseBody();
    step parseChunks();
    step takeData(std::size_t limit);
    step fail(std::string fault);

    bool m_answersHead;
    std::optional<head_parser> m_parser;
    std::optional<framing> m_framing;
    chunked_decoder m_chunks;
    std::uint64_t m_remaining = 0;
    std::string m_buffer;
    std::size_t m_position = 0;
    std::size_t m_headBytes = 0;
    unsigned m_interimResponses = 0;
    http_response m_head;
    std::string_view m_data;
    std::string m_fault;
};

} // namespace carawaylink
