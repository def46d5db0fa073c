#pragma once

#include "ticket/home_table.h"
#include "ticket/witness_table.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::model {

using namespace std::chrono_literals;

enum class action {
    issue,
    send_request,
    deliver,
    duplicate,
    lose,
    pause_or_resume,
    restart,
    dispatch,
    time_out,
    finish,
    advance_clock,
};

inline constexpr auto actionNames = enumTable<action>({
    { action::issue, "issue" },
    { action::send_request, "send_request" },
    { action::deliver, "deliver" },
    { action::duplicate, "duplicate" },
    { action::lose, "lose" },
    { action::pause_or_resume, "pause_or_resume" },
    { action::restart, "restart" },
    { action::dispatch, "dispatch" },
    { action::time_out, "time_out" },
    { action::finish, "finish" },
    { action::advance_clock, "advance_clock" },
});

/// One step of a schedule. Every value of bits is a valid step, so that any part of a schedule can be removed when shrinking.
struct step {
    std::uint32_t bits = 0;

    action kind() const
    {
        // Deliveries are most frequent, so that most requests make progress.
        constexpr std::array kinds { action::deliver, action::deliver, action::deliver, action::deliver, action::deliver, action::deliver,
            action::deliver, action::deliver, action::issue, action::issue, action::send_request, action::send_request,
            action::send_request, action::send_request, action::dispatch, action::dispatch, action::duplicate, action::duplicate,
            action::lose, action::pause_or_resume, action::time_out, action::finish, action::advance_clock, action::restart };
        return kinds[bits % kinds.size()];
    }
    std::uint32_t firstArgument() const { return bits / 32 & 0xff; }
    std::uint32_t secondArgument() const { return bits >> 16 & 0xff; }
    bool flagArgument() const { return (bits >> 30 & 1) != 0; }

    friend std::ostream& operator<<(std::ostream& out, const step& self)
    {
        return out << actionNames.name(self.kind()) << '(' << self.firstArgument() << ',' << self.secondArgument() << ','
                   << self.flagArgument() << ')';
    }
};

/// The ticket protocol without changes.
struct correct_protocol {
    using home_type = home_table;
    using witness_type = witness_table;
    static constexpr bool waitsForAcknowledgement = true;
    static constexpr bool restartChangesIncarnation = true;
};

/// Nodes, callers and the messages between them, driven by a schedule. Each node is home and witness, with tables small enough to
/// overflow. Nodes may wrongly suspect a home of having failed at any time, as a failure detector may.
template <typename Protocol> class dispatch_model {
public:
    dispatch_model()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }

    void run(const std::vector<step>& schedule)
    {
        for (const auto& item : schedule)
            applyStep(item);
        // A process that was permitted to dispatch may do so at any later time.
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            while (!m_nodes[i].permitted.empty())
                dispatch(i);
        }
    }

    /// The first violation of an invariant; empty if there was none.
    const std::string& violation() const { return m_violation; }
    std::size_t dispatches() const { return m_dispatched.size(); }
    std::size_t notRunReports() const { return m_reportedNotRun.size(); }

private:
    static constexpr duration lifetime = 40ms;
    static constexpr duration dispatchDeadline = 10ms;
    static constexpr std::size_t homeCapacity = 6;
    static constexpr std::size_t witnessCapacity = 2;
    static constexpr std::size_t witnessHomes = 2;

    enum class message_kind { request, intent, intent_answer, query };
    struct message {
        message_kind kind = message_kind::request;
        std::size_t to = 0;
        ticket value;
        request_id request;
        bool accepted = false;
        /// For a request: whether the receiver suspects the home of having failed.
        bool homeSuspected = false;
    };
    struct node {
        process_identity self;
        std::unique_ptr<typename Protocol::home_type> home;
        std::unique_ptr<typename Protocol::witness_type> witness;
        bool paused = false;
        std::map<ticket, monotonic_time> deadlines;
        std::deque<ticket> permitted;
        std::vector<ticket> running;
    };

    void start(std::size_t index)
    {
        auto& target = m_nodes[index];
        const auto run = target.self.run.value + (Protocol::restartChangesIncarnation || target.self.run.value == 0 ? 1 : 0);
        target = {};
        target.self = { node_id("node" + std::to_string(index)), incarnation(run) };
        target.home = std::make_unique<typename Protocol::home_type>(target.self, homeCapacity, lifetime);
        target.witness = std::make_unique<typename Protocol::witness_type>(target.self, witnessCapacity, witnessHomes);
    }

    std::size_t indexOf(const node_id& id) const { return static_cast<std::size_t>(id.value.back() - '0'); }

    void applyStep(const step& item)
    {
        const std::size_t index = item.firstArgument() % m_nodes.size();
        auto& target = m_nodes[index];
        switch (item.kind()) {
        case action::issue: {
            // One ticket in eight has no witness, as in a cluster of one node.
            const auto& other = m_nodes[(index + 1 + item.secondArgument() % (m_nodes.size() - 1)) % m_nodes.size()];
            const auto value = target.home->issue(m_now, item.secondArgument() % 8 == 7 ? process_identity {} : other.self);
            if (value)
                m_tickets.push_back(*value);
            break;
        }
        case action::send_request:
            // Recent tickets are chosen more often than old ones.
            if (!m_tickets.empty()) {
                const auto back
                    = item.secondArgument() % (item.flagArgument() ? m_tickets.size() : std::min<std::size_t>(m_tickets.size(), 3));
                m_messages.push_back(
                    { message_kind::request, index, m_tickets[m_tickets.size() - 1 - back], {}, false, item.secondArgument() % 4 == 0 });
            }
            break;
        case action::deliver:
            if (const auto position = chooseMessage(item); position < m_messages.size() && !m_nodes[m_messages[position].to].paused) {
                const auto delivered = m_messages[position];
                m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
                receive(delivered);
            }
            break;
        case action::duplicate:
            if (const auto position = chooseMessage(item); position < m_messages.size()) {
                const auto copy = m_messages[position];
                m_messages.push_back(copy);
            }
            break;
        case action::lose:
            if (const auto position = chooseMessage(item); position < m_messages.size())
                m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
            break;
        case action::pause_or_resume:
            target.paused = !target.paused;
            break;
        case action::restart:
            // Infrequent enough that the tables fill between two restarts.
            if (item.secondArgument() % 4 == 0)
                start(index);
            break;
        case action::dispatch:
            if (!target.paused && !target.permitted.empty())
                dispatch(index);
            break;
        case action::time_out:
            if (!target.paused && !target.deadlines.empty()) {
                const auto value
                    = std::next(target.deadlines.begin(), static_cast<std::ptrdiff_t>(item.secondArgument() % target.deadlines.size()))
                          ->first;
                if (target.home->close(value))
                    reportNotRun(value);
            }
            break;
        case action::finish:
            if (!target.running.empty()) {
                target.home->markAnswered(target.running.back());
                target.running.pop_back();
            }
            break;
        case action::advance_clock:
            m_now += std::chrono::milliseconds(item.secondArgument() % 16);
            break;
        }
    }

    std::size_t chooseMessage(const step& item) const { return m_messages.empty() ? 0 : item.secondArgument() % m_messages.size(); }

    void receive(const message& in)
    {
        auto& target = m_nodes[in.to];
        switch (in.kind) {
        case message_kind::request:
            receiveRequest(in);
            break;
        case message_kind::intent: {
            const bool accepted = target.witness->recordIntent(in.value, in.request, endpoint_id("endpoint")) == intent_result::accepted;
            m_messages.push_back({ message_kind::intent_answer, indexOf(in.value.home.node), in.value, in.request, accepted });
            break;
        }
        case message_kind::intent_answer:
            if (in.value.home != target.self)
                break;
            if (in.accepted && target.home->beginDispatch(m_now, in.value, deadlineOf(target, in.value)))
                target.permitted.push_back(in.value);
            else if (target.home->close(in.value))
                reportNotRun(in.value);
            break;
        case message_kind::query:
            if (target.witness->queryAndClose(in.value).state == witness_state::closed)
                reportNotRun(in.value);
            break;
        }
    }

    monotonic_time deadlineOf(const node& target, const ticket& value) const
    {
        const auto found = target.deadlines.find(value);
        return found == target.deadlines.end() ? monotonic_time() : found->second;
    }

    void receiveRequest(const message& in)
    {
        auto& target = m_nodes[in.to];
        const auto homeIndex = indexOf(in.value.home.node);
        if (in.value.home != target.self) {
            if (in.homeSuspected || homeIndex == in.to) {
                if (!in.value.witness.node.value.empty())
                    m_messages.push_back({ message_kind::query, indexOf(in.value.witness.node), in.value });
            } else {
                m_messages.push_back({ message_kind::request, homeIndex, in.value });
            }
            return;
        }
        const request_id request { target.self.run.value, ++m_requests };
        const auto result = target.home->claimTicket(m_now, in.value, request).result;
        if (result == claim_result::closed)
            reportNotRun(in.value);
        if (result != claim_result::granted)
            return;
        const bool witnessed = !in.value.witness.node.value.empty();
        target.deadlines[in.value] = m_now + dispatchDeadline;
        if (witnessed) {
            target.home->markIntentSent(in.value);
            m_messages.push_back({ message_kind::intent, indexOf(in.value.witness.node), in.value, request });
        }
        if ((!witnessed || !Protocol::waitsForAcknowledgement) && target.home->beginDispatch(m_now, in.value, target.deadlines[in.value]))
            target.permitted.push_back(in.value);
    }

    void dispatch(std::size_t index)
    {
        auto& target = m_nodes[index];
        const auto value = target.permitted.front();
        target.permitted.pop_front();
        target.running.push_back(value);
        if (!m_dispatched.insert(value).second)
            recordViolation("dispatched twice: ", value);
        if (m_reportedNotRun.contains(value))
            recordViolation("dispatched after \"not run\" was reported: ", value);
    }

    void reportNotRun(const ticket& value)
    {
        m_reportedNotRun.insert(value);
        if (m_dispatched.contains(value))
            recordViolation("\"not run\" reported after dispatch: ", value);
    }

    void recordViolation(const std::string& text, const ticket& value)
    {
        if (m_violation.empty())
            m_violation
                = text + value.home.node.value + "/" + std::to_string(value.home.run.value) + " sequence " + std::to_string(value.sequence);
    }

    std::array<node, 3> m_nodes;
    std::vector<ticket> m_tickets;
    std::vector<message> m_messages;
    std::set<ticket> m_dispatched;
    std::set<ticket> m_reportedNotRun;
    std::string m_violation;
    std::uint64_t m_requests = 0;
    monotonic_time m_now { 1000s };
};

} // namespace carawaylink::model
