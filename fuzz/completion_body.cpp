// Bodies of completion requests: any bytes are read or refused with a typed error.
#include "fuzz_input.h"
#include "request_handling.h"

namespace {

carawaylink::fleet_view makeView()
{
    using namespace carawaylink;
    fleet_view view;
    const service_id service("llm");
    view.services[service].definition.name = service.value;
    view.serviceByModel["m"] = service;
    return view;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace carawaylink;
    static const auto view = makeView();
    const team_policy team;
    for (const auto* path : { "/v1/completions", "/v1/chat/completions" }) {
        try {
            const auto completion = readCompletion(view, team, { "POST", path, {}, asString(data, size) });
            require(completion.service.value == "llm" && !completion.engineBody.empty());
        } catch (const refused_request& refused) {
            require(refused.reason.status >= 400 && !refused.reason.type.empty() && !refused.reason.remedy.empty());
            require(!refusalResponse(refused.reason).body.empty());
        }
    }
    return 0;
}
