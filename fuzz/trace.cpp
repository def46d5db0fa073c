// Trace lines: any bytes give calls or error(invalid_argument); what was read can be written and read again.
#include "load/trace.h"
#include "base/error.h"
#include "fuzz_input.h"

#include <sstream>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    try {
        std::istringstream in(asString(data, size));
        const auto calls = load::readTrace(in, "trace");
        std::stringstream out;
        load::writeTrace(out, calls);
        require(load::readTrace(out, "again") == calls);
    } catch (const error& failure) {
        require(failure.kind() == error_kind::invalid_argument);
    }
    return 0;
}
