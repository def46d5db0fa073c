#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// One run of one node.
struct process_identity {
    node_id node;
    incarnation run;

    friend auto operator<=>(const process_identity&, const process_identity&) = default;
};

/// Permission, authenticated by the cluster, for one process to dispatch one request.
struct ticket {
    process_identity home;
    /// The node is empty if no second node was live; the home then decides alone.
    process_identity witness;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// Secrets that authenticate tickets. The first key seals new tickets; all keys verify.
class key_ring {
public:
    struct key {
        std::string id;
        std::string secret;
    };

    /// Throws error(invalid_settings) for an empty list, a duplicate id, an id that is not 1 to 32 letters, digits, '-' or '_', or
    /// a secret shorter than 16 bytes.
    explicit key_ring(std::vector<key> keys);

    /// Encodes a ticket with its key id and HMAC-SHA256 as text of letters, digits, '-', '_' and '.'. Throws
    /// error(invalid_argument) for a node id longer than 255 bytes.
    std::string seal(const ticket& value) const;
    /// Verifies and decodes a ticket. Throws error(unauthorized) if it is malformed, altered or sealed with an unknown key.
    ticket open(std::string_view text) const;

private:
    std::vector<key> m_keys;
};

} // namespace carawaylink
