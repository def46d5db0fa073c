// Responses of endpoints and of the store: any bytes, in pieces of any size, keep the limits of each part and give the same response.
#include "fuzz_input.h"
#include "response_parser.h"

#include <algorithm>

namespace {

using carawaylink::response_parser;

struct parsed_response {
    response_parser::step end = response_parser::step::needs_bytes;
    unsigned status = 0;
    std::string body;
};

// Takes a piece of the given size at a time; small ones make the parser keep what it has of a part.
parsed_response parse(std::string_view bytes, std::size_t pieceBytes)
{
    response_parser parser(false);
    parsed_response result;
    while (!bytes.empty()) {
        const auto piece = bytes.substr(0, pieceBytes);
        bytes.remove_prefix(piece.size());
        parser.append(piece);
        do {
            result.end = parser.next();
            if (result.end == response_parser::step::head)
                result.status = parser.head().status;
            else if (result.end == response_parser::step::data)
                result.body += parser.data();
        } while (result.end == response_parser::step::head || result.end == response_parser::step::data);
        if (result.end != response_parser::step::needs_bytes)
            return result;
        require(parser.bufferedBytes() <= carawaylink::maxResponseHeaderBytes);
    }
    return result;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto text = asString(data + 1, size - 1);
    const auto whole = parse(text, text.size() + 1);
    const auto split = parse(text, 1 + data[0] % 16);
    require(whole.status == split.status);
    require(whole.body == split.body);
    // A fault in a head that is incomplete may be found now or not before its end.
    require(whole.status == 0 || whole.end == split.end);
    return 0;
}
