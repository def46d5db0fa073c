// Datagrams of the failure detector: any bytes give a packet or nothing.
#include "fuzz_input.h"
#include "wire/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    if (const auto packet = wire::decodePacket({ data, size }))
        require(wire::decodePacket(wire::encodePacket(*packet)).has_value());
    return 0;
}
