// Frames between nodes: any bytes give envelopes or error(invalid_message); what was decoded can be encoded and read again.
#include "base/error.h"
#include "fuzz_input.h"
#include "wire/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    wire::frame_decoder decoder;
    try {
        // Two parts, so that a frame is also split between reads.
        decoder.append({ data, size / 2 });
        decoder.append({ data + size / 2, size - size / 2 });
        while (const auto envelope = decoder.next()) {
            const auto frame = wire::encodeEnvelope(*envelope);
            wire::frame_decoder again;
            again.append(frame);
            require(again.next().has_value());
        }
    } catch (const error& failure) {
        require(failure.kind() == error_kind::invalid_message);
    }
    return 0;
}
