// Fleet configuration: any text gives a configuration or at least one fault; the canonical form is read as the same again.
#include "fuzz_input.h"
#include "settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    settings_report report;
    const auto configuration = loadFleetConfiguration(asString(data, size), report);
    require(configuration.has_value() == report.faults.empty());
    if (!configuration)
        return 0;
    const auto text = toYaml(*configuration);
    settings_report second;
    const auto again = loadFleetConfiguration(text, second);
    require(again && toYaml(*again) == text);
    return 0;
}
