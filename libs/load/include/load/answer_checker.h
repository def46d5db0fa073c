#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace carawaylink::load {

/// What an answer has shown so far.
struct answer_state {
    /// Tokens that arrived, repeated and foreign ones included.
    std::int64_t tokens = 0;
    /// No token of another call arrived.
    bool own = true;
    /// Tokens arrived as 0, 1, 2, ... without a gap or a repetition.
    bool ordered = true;
    /// The end marker [DONE] arrived.
    bool done = false;
    /// The server reported an error inside the stream.
    bool failed = false;
    std::string errorType;
    std::string errorRan;
    /// First fault found, empty where there is none.
    std::string fault;
};

/// Checks the server-sent events of one streamed answer, in which token i has the text "CALL-ID:i ".
class answer_checker {
public:
    /// onToken is called for each token, in order of arrival.
    answer_checker(std::string callId, std::function<void()> onToken);

    /// Takes the next bytes of the body, split anywhere.
    void feed(std::string_view bytes);
    const answer_state& state() const { return m_state; }

private:
    void takeLine(std::string_view line);
    void takeEvent();
    void takeText(std::string_view text);
    void noteFault(std::string_view fault);

    std::string m_callId;
    std::function<void()> m_onToken;
    answer_state m_state;
    std::string m_rest;
    std::string m_data;
    std::string m_id;
    std::int64_t m_next = 0;
};

/// Fields of a refusal body {"error":{...}}; empty fields where the body has another form.
struct refusal_body {
    std::string type;
    std::string ran;
    std::int64_t retryAfterMs = 0;
};
refusal_body readRefusal(std::string_view body);

/// Returns false where the JSON body names another call; a body without the field "call" is taken as own.
bool bodyNamesCall(std::string_view body, std::string_view callId);

} // namespace carawaylink::load
