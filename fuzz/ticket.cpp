// Tickets: any text is refused or is a ticket that this cluster sealed, which seals to the same text again.
#include "ticket/ticket.h"
#include "base/error.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    static const key_ring keys({ { "k", "secret-of-the-fuzzed-cluster" } });
    const auto text = asString(data, size);
    try {
        require(keys.seal(keys.open(text)) == text);
    } catch (const error& failure) {
        require(failure.kind() == error_kind::unauthorized);
    }
    const auto half = text.size() / 2;
    const ticket value { { node_id(text.substr(0, half)), incarnation(size) }, { node_id(text.substr(half)), incarnation(1) }, size };
    try {
        require(keys.open(keys.seal(value)) == value);
    } catch (const error& failure) {
        require(failure.kind() == error_kind::invalid_argument);
    }
    return 0;
}
