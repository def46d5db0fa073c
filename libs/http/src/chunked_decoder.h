#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carawaylink {

/// Longest chunk header: the size and the extensions of one chunk.
inline constexpr std::size_t maxChunkHeaderBytes = 4096;
/// Longest trailer section after the last chunk.
inline constexpr std::size_t maxTrailerBytes = 16384;

/// Decodes a body with the transfer coding "chunked" as its bytes arrive. Keeps none of them; extensions and trailers are dropped.
class chunked_decoder {
public:
    enum class step {
        /// All of the input was used up.
        needs_bytes,
        /// data() is the next part of the body.
        data,
        /// The body is complete; what remains of the input follows it.
        complete,
        /// The input is no chunked body, or a part of it exceeds its limit; see fault().
        invalid,
    };

    /// Removes what it decodes from the front of the input, up to the next part of the body.
    step next(std::string_view& input);
    std::string_view data() const { return m_data; }
    std::string_view fault() const { return m_fault; }

private:
    enum class state {
        size,
        extension,
        header_end,
        data,
        data_return,
        data_end,
        trailer_start,
        trailer,
        trailer_end,
        last_end,
        complete,
        invalid,
    };

    void decode(char next);
    void decodeSize(char next);
    void decodeTrailerStart(char next);
    /// Goes on to the state if the character is the expected one.
    void expect(char expected, char next, state following);
    void skipLine(char next, state end);
    void beginChunk();
    bool isWithinLimit();
    void fail(std::string_view fault);

    state m_state = state::size;
    /// Bytes of the current chunk header or of the trailers so far.
    std::size_t m_lineBytes = 0;
    bool m_hasSize = false;
    /// Size of the chunk that begins, then bytes of it that are still to come.
    std::uint64_t m_remaining = 0;
    std::string_view m_data;
    std::string_view m_fault;
};

} // namespace carawaylink
