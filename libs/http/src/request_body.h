#pragma once

#include "chunked_decoder.h"

#include <optional>
#include <string>
#include <string_view>

namespace carawaylink {

/// Collects the body of one request as its bytes arrive. Does no I/O.
class request_body {
public:
    enum class state {
        incomplete,
        complete,
        /// It is no chunked body, or a part of it exceeds its limit; see fault().
        malformed,
        too_large,
    };

    /// length: nullopt for a body in chunks. maxBytes: limit of the body.
    request_body(std::optional<std::size_t> length, std::size_t maxBytes);

    /// Removes what belongs to the body from the front of the input.
    state take(std::string_view& input);
    /// Size of the next read that is worth while.
    std::size_t bytesToRead() const;
    std::size_t size() const { return m_bytes.size(); }
    std::string_view fault() const { return m_chunks.fault(); }
    /// Returns the body and keeps nothing of it.
    std::string release() { return std::move(m_bytes); }

private:
    state takeChunks(std::string_view& input);

    std::optional<std::size_t> m_length;
    std::size_t m_maxBytes;
    chunked_decoder m_chunks;
    std::string m_bytes;
};

} // namespace carawaylink
