#pragma once

#include "standins/engine_model.h"

#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

struct generation_call {
    engine_request request;
    bool stream = false;
};

/// Reads the body of a completion; throws error(invalid_argument).
generation_call readGenerationCall(std::string_view body, bool chat);
engine_order readOrder(std::string_view body);
/// Reads {"hashes":["hex", ..]}.
std::vector<std::uint64_t> readHashes(std::string_view body);
std::string writeHashes(std::string_view key, const std::vector<std::uint64_t>& hashes);

std::string writeLoad(const engine_load& load);
std::string writeState(const engine_model& model);
std::string writeModels(const engine_model& model);
std::string writeCacheEvents(const cache_event_feed::page& page);
std::string writeHistoryLine(const engine_event& event, const std::string& endpoint);

/// Writes the answer of one execution in the form of the OpenAI interface.
class completion_writer {
public:
    completion_writer(const engine_execution& execution, const std::string& model);

    /// Appends the event of output token index.
    void appendToken(std::string& out, const engine_execution& execution, std::int64_t index) const;
    /// Appends the events after the last token.
    void appendEnd(std::string& out, const engine_execution& execution) const;
    std::string whole(const engine_execution& execution) const;

private:
    std::string m_model;
    std::int64_t m_created;
    /// Parts of a token event around the offset, the token number and the finish reason.
    std::string m_beforeIndex;
    std::string m_afterIndex;
};

} // namespace carawaylink
