#pragma once

#include "load/checker.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink::load {

using record_list = std::vector<const history_record*>;

/// Collects the verdict on one promise and keeps the breach with the shortest trace.
class verdict {
public:
    explicit verdict(int number) { m_result.number = number; }

    void check() { ++m_result.checked; }
    /// The trace is put into the order of time.
    void breach(const std::string& detail, record_list trace);
    promise_result result() const { return m_result; }

private:
    promise_result m_result;
};

/// Records of all sources by call and by request.
struct record_index {
    explicit record_index(const history& merged);

    std::map<std::string_view, record_list> byCall;
    std::map<std::string_view, record_list> nodeByRequest;
};

/// Times at which a node ran, from its started events and from faults that name it.
class node_runs {
public:
    struct run {
        std::int64_t begin = 0;
        /// INT64_MAX where no end is known.
        std::int64_t end = INT64_MAX;
        bool killed = false;
        std::int64_t drainBegin = INT64_MAX;
        std::int64_t drainEnd = INT64_MAX;
        const history_record* drainRecord = nullptr;
        /// Times during which the process was stopped.
        std::vector<std::pair<std::int64_t, std::int64_t>> pauses;
    };

    explicit node_runs(const history& merged);

    const std::map<std::string, std::vector<run>>& all() const { return m_runs; }
    /// Node whose callers connect to that address: the address that a node event names, else the only node with the same ip.
    std::string nodeOfAddress(const std::string& address) const;

private:
    run& current(const history_record& record);

    std::map<std::string, std::vector<run>> m_runs;
    std::map<std::string, std::string> m_nodeByAddress;
};

promise_result checkSingleDispatch(const record_index& index);
promise_result checkTierOrder(const history& merged, const node_runs& runs, const checker_settings& settings);
promise_result checkWholeAnswers(const record_index& index);
promise_result checkNotRun(const record_index& index);
promise_result checkSingleExecution(const record_index& index);
promise_result checkLeaving(const history& merged, const checker_settings& settings);
promise_result checkDrains(const history& merged, const node_runs& runs);
promise_result checkConfiguration(const history& merged, const node_runs& runs, const checker_settings& settings);

} // namespace carawaylink::load
