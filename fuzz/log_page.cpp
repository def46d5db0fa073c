// Pages of the platform log: any bytes give a page or error(invalid_message).
#include "base/error.h"
#include "fuzz_input.h"
#include "platform_log.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    try {
        carawaylink::parseLogPage(asString(data, size));
    } catch (const carawaylink::error& failure) {
        require(failure.kind() == carawaylink::error_kind::invalid_message);
    }
    return 0;
}
