#pragma once

#include "membership/failure_detector.h"
#include "membership/packet_size.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::simulation {

using namespace std::chrono_literals;

/// A change of one member's view of another.
struct observation {
    monotonic_time time;
    std::size_t observer = 0;
    std::size_t member = 0;
    member_update update;
};

struct traffic {
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
    std::uint64_t largest = 0;
};

/// Failure detectors on an in-memory network in virtual time. The run is determined by the seed.
class network {
public:
    double loss = 0;
    duration minDelay = 500us;
    duration maxDelay = 1500us;
    /// Returns false for pairs of nodes whose datagrams are dropped; simulates partitions.
    std::function<bool(std::size_t from, std::size_t to)> reachable = [](auto, auto) { return true; };
    std::vector<observation> observations;
    traffic sent;
    /// Real time spent in the detectors, excluding the simulated network.
    std::chrono::steady_clock::duration detectorTime {};

    explicit network(std::size_t size, std::uint64_t seed, failure_detector_settings settings = {})
        : m_random(seed)
        , m_settings(settings)
        , m_nodes(size)
    {
    }

    static node_id nodeIdOf(std::size_t index)
    {
        return node_id("10.20." + std::to_string(100 + index / 200) + "." + std::to_string(index % 200 + 20) + ":7400");
    }

    std::size_t size() const { return m_nodes.size(); }
    monotonic_time now() const { return m_now; }
    bool isRunning(std::size_t index) const { return m_nodes[index].detector != nullptr; }
    failure_detector& at(std::size_t index) { return *m_nodes[index].detector; }
    void setInboundLoss(std::size_t index, double value) { m_nodes[index].inboundLoss = value; }

    /// Starts a new incarnation of a node.
    void start(std::size_t index, const std::vector<std::size_t>& seeds)
    {
        auto& node = m_nodes[index];
        ++node.run;
        member_update self;
        self.node = nodeIdOf(index);
        self.run = incarnation(1'764'800'000'000'000 + node.run - node.clockBack);
        self.domain = failure_domain("zone-" + std::string(1, static_cast<char>('a' + index % 3)));
        self.region = "region-1";
        self.httpAddress = nodeIdOf(index).value + "0";
        node.detector = std::make_unique<failure_detector>(self, m_settings, m_random());
        std::vector<node_id> ids;
        for (const auto seed : seeds)
            ids.push_back(nodeIdOf(seed));
        perform(index, node.detector->addSeeds(m_now, ids));
        schedule(tickInterval * (m_random() % 50) / 50, { event_kind::tick, index, node.run, {} });
    }

    /// Later incarnations of the node are lower by the given number than they would be.
    void setClockBack(std::size_t index, std::uint64_t steps) { m_nodes[index].clockBack = steps; }

    /// Starts all nodes, each with three seeds.
    void startAll()
    {
        for (std::size_t i = 0; i < size(); ++i)
            start(i, { 0, i / 2, (i + size() - 1) % size() });
    }

    void kill(std::size_t index)
    {
        m_nodes[index].detector.reset();
        m_nodes[index].inbox.clear();
        m_nodes[index].paused = false;
    }

    void pause(std::size_t index) { m_nodes[index].paused = true; }

    void resume(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.paused = false;
        for (const auto& packet : std::exchange(node.inbox, {}))
            perform(index, node.detector->receive(m_now, packet));
        schedule(duration::zero(), { event_kind::tick, index, node.run, {} });
    }

    /// Calls a function of a detector and performs the actions that it returns.
    template <typename Function> void call(std::size_t index, Function function) { perform(index, function(at(index), m_now)); }

    void run(duration length)
    {
        const auto end = m_now + length;
        while (!m_queue.empty() && m_queue.top().time <= end) {
            auto next = m_queue.top();
            m_queue.pop();
            m_now = next.time;
            handle(next);
        }
        m_now = end;
    }

    /// Runs until the condition holds or the limit has passed; returns the elapsed time.
    duration runUntil(duration limit, const std::function<bool()>& condition, duration step = 20ms)
    {
        const auto begin = m_now;
        while (!condition() && m_now - begin < limit)
            run(step);
        return m_now - begin;
    }

    std::optional<member_update> view(std::size_t observer, std::size_t member)
    {
        const auto all = at(observer).members();
        const auto found = std::ranges::find(all, nodeIdOf(member), &member_update::node);
        return found == all.end() ? std::nullopt : std::optional(*found);
    }

    /// True if the observer's live members are exactly the given nodes except itself, and none is suspect.
    bool hasLiveMembers(std::size_t observer, const std::set<std::size_t>& expected)
    {
        std::set<node_id> wanted;
        for (const auto index : expected) {
            if (index != observer)
                wanted.insert(nodeIdOf(index));
        }
        std::set<node_id> seen;
        for (const auto& member : at(observer).members()) {
            if (member.state == member_state::alive)
                seen.insert(member.node);
            else if (member.state == member_state::suspect)
                return false;
        }
        return seen == wanted;
    }

    std::set<std::size_t> running() const
    {
        std::set<std::size_t> result;
        for (std::size_t i = 0; i < size(); ++i) {
            if (isRunning(i))
                result.insert(i);
        }
        return result;
    }

    bool allAgree()
    {
        return std::ranges::all_of(running(), [&](auto i) { return hasLiveMembers(i, running()); });
    }

private:
    static constexpr duration tickInterval = 50ms;
    // The socket buffer of a paused process holds a bounded number of datagrams.
    static constexpr std::size_t maxInboxPackets = 200;

    enum class event_kind { tick, datagram };
    struct event {
        event_kind kind = event_kind::tick;
        std::size_t node = 0;
        std::uint64_t run = 0;
        std::shared_ptr<const membership_packet> packet;
        monotonic_time time {};
        std::uint64_t number = 0;

        friend bool operator<(const event& a, const event& b) { return std::tie(b.time, b.number) < std::tie(a.time, a.number); }
    };
    struct node_state {
        std::unique_ptr<failure_detector> detector;
        std::uint64_t run = 0;
        std::uint64_t clockBack = 0;
        bool paused = false;
        double inboundLoss = 0;
        std::vector<membership_packet> inbox;
    };

    bool randomTrue(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    void schedule(duration delay, event item)
    {
        item.time = m_now + delay;
        item.number = ++m_events;
        m_queue.push(std::move(item));
    }

    void handle(const event& item)
    {
        auto& node = m_nodes[item.node];
        if (!node.detector)
            return;
        if (item.kind == event_kind::datagram) {
            if (!node.paused)
                perform(item.node, timed([&] { return node.detector->receive(m_now, *item.packet); }));
            else if (node.inbox.size() < maxInboxPackets)
                node.inbox.push_back(*item.packet);
        } else if (item.run == node.run && !node.paused) {
            perform(item.node, timed([&] { return node.detector->tick(m_now); }));
            schedule(tickInterval, item);
        }
    }

    template <typename Function> std::vector<membership_action> timed(Function function)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto actions = function();
        detectorTime += std::chrono::steady_clock::now() - begin;
        return actions;
    }

    void perform(std::size_t index, std::vector<membership_action> actions)
    {
        for (auto& action : actions) {
            if (auto* change = std::get_if<member_changed>(&action)) {
                observations.push_back({ m_now, index, indexOf(change->member.node), change->member });
                continue;
            }
            auto& send = std::get<send_packet>(action);
            const auto bytes = datagramSize(send.packet);
            ++sent.packets;
            sent.bytes += bytes;
            sent.largest = std::max<std::uint64_t>(sent.largest, bytes);
            const auto to = indexOf(send.to);
            if (to >= size() || !reachable(index, to) || randomTrue(loss) || randomTrue(m_nodes[to].inboundLoss))
                continue;
            const auto delay
                = minDelay + duration(std::uniform_int_distribution<duration::rep>(0, (maxDelay - minDelay).count())(m_random));
            schedule(delay, { event_kind::datagram, to, 0, std::make_shared<const membership_packet>(std::move(send.packet)) });
        }
    }

    std::size_t indexOf(const node_id& id)
    {
        unsigned high = 0;
        unsigned low = 0;
        return std::sscanf(id.value.c_str(), "10.20.%u.%u:", &high, &low) == 2 ? (high - 100) * 200 + low - 20 : size();
    }

    random_source m_random;
    failure_detector_settings m_settings;
    std::vector<node_state> m_nodes;
    std::priority_queue<event> m_queue;
    monotonic_time m_now = monotonic_time(1h);
    std::uint64_t m_events = 0;
};

} // namespace carawaylink::simulation
