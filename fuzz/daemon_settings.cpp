// Settings of the daemon: any text gives settings or at least one fault.
#include "fuzz_input.h"
#include "settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    carawaylink::settings_report report;
    const auto settings = carawaylink::loadDaemonSettings(asString(data, size), report);
    require(settings.has_value() == report.faults.empty());
    return 0;
}
