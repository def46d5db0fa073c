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
    /// Empty node: no second node was live, the home decides alone.
    process_identity witness;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// Secrets that authenticate tickets; the first key issues, all keys verify.
class key_ring {
public:
    struct key {
        std::string id;
        std::string secret;
    };

    /// Throws error(invalid_settings) for an empty list, an id used twice, an id that is not 1 to 32 letters, digits, '-' or
    /// '_', or a secret shorter than 16 bytes.
    explicit key_ring(std::vector<key> keys);

    /// Writes a ticket as printable text with its key id and HMAC-SHA256; letters, digits, '-', '_' and '.' only. Throws
    /// error(invalid_argument) for a node id above 255 bytes.
    std::string seal(const ticket& value) const;
    /// Reads and verifies a ticket; throws error(unauthorized) where it is malformed, altered or of an unknown key.
    ticket open(std::string_view text) const;

private:
    std::vector<key> m_keys;
};

} // namespace carawaylink
