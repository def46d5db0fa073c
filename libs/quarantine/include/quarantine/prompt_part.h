#pragma once

#include "base/ids.h"

namespace carawaylink::quarantine {

/// Identifies a shared part of prompts of one service, or a request to it.
using part_hash = strong_value<struct part_hash_tag, std::uint64_t>;
using service_hash = strong_value<struct service_hash_tag, std::uint64_t>;
using replica_hash = strong_value<struct replica_hash_tag, std::uint64_t>;

} // namespace carawaylink::quarantine
