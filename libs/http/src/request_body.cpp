#include "request_body.h"

#include <algorithm>

namespace carawaylink {

namespace {

constexpr std::size_t minReadBytes = 512;
constexpr std::size_t maxReadBytes = 16384;

} // namespace

request_body::request_body(std::optional<std::size_t> length, std::size_t maxBytes)
    : m_length(length)
    , m_maxBytes(maxBytes)
{
}

request_body::state request_body::take(std::string_view& input)
{
    if (!m_length)
        return takeChunks(input);
    const auto part = input.substr(0, *m_length - m_bytes.size());
    m_bytes += part;
    input.remove_prefix(part.size());
    return m_bytes.size() == *m_length ? state::complete : state::incomplete;
}

request_body::state request_body::takeChunks(std::string_view& input)
{
    while (true) {
        switch (m_chunks.next(input)) {
        case chunked_decoder::step::needs_bytes:
            return state::incomplete;
        case chunked_decoder::step::complete:
            return state::complete;
        case chunked_decoder::step::invalid:
            return state::malformed;
        case chunked_decoder::step::data:
            if (m_bytes.size() + m_chunks.data().size() > m_maxBytes)
                return state::too_large;
            m_bytes += m_chunks.data();
        }
    }
}

std::size_t request_body::bytesToRead() const
{
    return m_length ? std::clamp(*m_length - m_bytes.size(), minReadBytes, maxReadBytes) : minReadBytes;
}

} // namespace carawaylink
