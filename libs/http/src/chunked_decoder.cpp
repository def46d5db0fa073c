#include "chunked_decoder.h"

#include <algorithm>
#include <optional>

namespace carawaylink {

namespace {

// A chunk may not be larger than this; a size with more digits would overflow.
constexpr std::uint64_t maxChunkBytes = std::uint64_t { 1 } << 56U;

std::optional<unsigned> hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

} // namespace

chunked_decoder::step chunked_decoder::next(std::string_view& input)
{
    while (m_state != state::complete && m_state != state::invalid) {
        if (input.empty())
            return step::needs_bytes;
        if (m_state == state::data) {
            m_data = input.substr(0, static_cast<std::size_t>(std::min<std::uint64_t>(input.size(), m_remaining)));
            input.remove_prefix(m_data.size());
            m_remaining -= m_data.size();
            if (m_remaining == 0)
                m_state = state::data_return;
            return step::data;
        }
        decode(input.front());
        input.remove_prefix(1);
    }
    return m_state == state::complete ? step::complete : step::invalid;
}

void chunked_decoder::decode(char next)
{
    if (!isWithinLimit())
        return;
    switch (m_state) {
    case state::size:
        decodeSize(next);
        break;
    case state::extension:
        skipLine(next, state::header_end);
        break;
    case state::header_end:
        expect('\n', next, state::data);
        if (m_state == state::data)
            beginChunk();
        break;
    case state::data_return:
        expect('\r', next, state::data_end);
        break;
    case state::data_end:
        expect('\n', next, state::size);
        m_hasSize = false;
        break;
    case state::trailer_start:
        decodeTrailerStart(next);
        break;
    case state::trailer:
        skipLine(next, state::trailer_end);
        break;
    case state::trailer_end:
        expect('\n', next, state::trailer_start);
        break;
    case state::last_end:
        expect('\n', next, state::complete);
        break;
    case state::data:
    case state::complete:
    case state::invalid:
        break;
    }
}

void chunked_decoder::decodeSize(char next)
{
    if (const auto digit = hexDigit(next)) {
        m_hasSize = true;
        m_remaining = m_remaining * 16 + *digit;
        if (m_remaining > maxChunkBytes)
            fail("the size of a chunk has more than 15 digits");
        return;
    }
    if (!m_hasSize)
        fail("a chunk does not begin with its size");
    else if (next == '\r')
        m_state = state::header_end;
    else if (next == ';' || next == ' ' || next == '\t')
        m_state = state::extension;
    else
        fail("the size of a chunk is followed by bytes that are no extension");
}

void chunked_decoder::decodeTrailerStart(char next)
{
    if (next == '\r')
        m_state = state::last_end;
    else if (next == '\n')
        fail("a line ends without a carriage return");
    else
        m_state = state::trailer;
}

void chunked_decoder::expect(char expected, char next, state following)
{
    if (next == expected)
        m_state = following;
    else
        fail("a line or a chunk does not end with a carriage return and a line feed");
}

void chunked_decoder::skipLine(char next, state end)
{
    if (next == '\r')
        m_state = end;
    else if (next == '\n')
        fail("a line ends without a carriage return");
}

void chunked_decoder::beginChunk()
{
    m_lineBytes = 0;
    if (m_remaining == 0)
        m_state = state::trailer_start;
}

bool chunked_decoder::isWithinLimit()
{
    const bool isTrailer = m_state == state::trailer_start || m_state == state::trailer || m_state == state::trailer_end;
    if (++m_lineBytes <= (isTrailer ? maxTrailerBytes : maxChunkHeaderBytes) || m_state == state::last_end)
        return true;
    fail(isTrailer ? "the trailers exceed 16384 bytes" : "a chunk header exceeds 4096 bytes");
    return false;
}

void chunked_decoder::fail(std::string_view fault)
{
    m_state = state::invalid;
    m_fault = fault;
}

} // namespace carawaylink
