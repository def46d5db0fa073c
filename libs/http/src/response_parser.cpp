#include "response_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>

namespace carawaylink {

namespace http = boost::beast::http;

namespace {

constexpr unsigned statusContinue = 100;
constexpr unsigned statusSwitchingProtocols = 101;
constexpr unsigned statusOk = 200;

bool isInterim(unsigned status)
{
    return status < statusOk && status != statusSwitchingProtocols;
}

} // namespace

response_parser::response_parser(bool answersHead)
    : m_answersHead(answersHead)
{
    restart();
}

void response_parser::restart()
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->header_limit(maxResponseHeaderBytes);
    m_parser->skip(m_answersHead);
    m_headBytes = 0;
}

void response_parser::append(std::string_view received)
{
    m_buffer.erase(0, std::exchange(m_position, 0));
    m_buffer.append(received);
}

response_parser::step response_parser::next()
{
    if (!m_fault.empty())
        return step::invalid;
    return m_framing ? parseBody() : parseHead();
}

// The head parser gets all bytes of the head anew each time, up to its end, since it keeps its place in them.
response_parser::step response_parser::parseHead()
{
    while (bufferedBytes() > 0) {
        boost::system::error_code status;
        const auto used = m_parser->put(boost::asio::buffer(m_buffer.data() + m_position, bufferedBytes()), status);
        m_position += used;
        m_headBytes += used;
        if (status && status != http::error::need_more && status != http::error::header_limit)
            return fail("the head is malformed: " + status.message());
        const bool isHeadDone = m_parser->is_header_done();
        if (status == http::error::header_limit || m_headBytes + (isHeadDone ? 0 : bufferedBytes()) > maxResponseHeaderBytes)
            return fail("the head exceeds " + std::to_string(maxResponseHeaderBytes) + " bytes");
        if (!isHeadDone)
            return step::needs_bytes;
        const auto code = m_parser->get().result_int();
        if (code < statusContinue)
            return fail("the status " + std::to_string(code) + " belongs to no class");
        if (!isInterim(code))
            return completeHead();
        if (++m_interimResponses > maxInterimResponses)
            return fail("more than " + std::to_string(maxInterimResponses) + " interim responses");
        restart();
    }
    return step::needs_bytes;
}

response_parser::step response_parser::completeHead()
{
    const auto& message = m_parser->get();
    m_head.status = message.result_int();
    for (const auto& field : message)
        m_head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    if (m_parser->is_done()) {
        m_framing = framing::none;
    } else if (m_parser->chunked()) {
        m_framing = framing::chunked;
    } else if (const auto length = m_parser->content_length()) {
        m_framing = framing::length;
        m_remaining = *length;
    } else {
        m_framing = framing::connection;
    }
    return step::head;
}

response_parser::step response_parser::parseBody()
{
    switch (*m_framing) {
    case framing::none:
        break;
    case framing::length:
        if (m_remaining > 0)
            return takeData(static_cast<std::size_t>(std::min<std::uint64_t>(bufferedBytes(), m_remaining)));
        break;
    case framing::chunked:
        return parseChunks();
    case framing::connection:
        return takeData(bufferedBytes());
    }
    return step::complete;
}

response_parser::step response_parser::takeData(std::size_t limit)
{
    if (limit == 0)
        return step::needs_bytes;
    m_data = std::string_view(m_buffer).substr(m_position, limit);
    m_position += limit;
    m_remaining -= std::min<std::uint64_t>(m_remaining, limit);
    return step::data;
}

response_parser::step response_parser::parseChunks()
{
    auto input = std::string_view(m_buffer).substr(m_position);
    const auto decoded = m_chunks.next(input);
    m_position = m_buffer.size() - input.size();
    switch (decoded) {
    case chunked_decoder::step::needs_bytes:
        return step::needs_bytes;
    case chunked_decoder::step::data:
        m_data = m_chunks.data();
        return step::data;
    case chunked_decoder::step::complete:
        return step::complete;
    case chunked_decoder::step::invalid:
        break;
    }
    return fail(std::string(m_chunks.fault()));
}

response_parser::step response_parser::finish() const
{
    return m_framing == framing::connection ? step::complete : step::needs_bytes;
}

response_parser::step response_parser::fail(std::string fault)
{
    m_fault = std::move(fault);
    return step::invalid;
}

} // namespace carawaylink
