#pragma once

#include "load/trace.h"

#include <string>
#include <string_view>

namespace carawaylink::load {

/// Words of a prompt that are shared by all calls with the same prefix: 60% of the prompt in whole cache blocks.
tokens sharedPrefixTokens(const trace_call& call);

/// Builds the prompt of a call: exactly call.prompt words; the shared ones depend only on the prefix name, the others on
/// the call id. The first unshared word is "output_tokens=N", which the engine stand-in obeys.
std::string buildPrompt(const trace_call& call, std::string_view callId);

} // namespace carawaylink::load
