#pragma once

#include "dispatch_control.h"
#include "event_loop.h"
#include "standins/vm_list_server.h"

#include <algorithm>
#include <memory>

namespace carawaylink {

/// Home and pool owner of one node without a network. Frames to other nodes stay in the mesh's send queues, and the test injects the
/// messages of other nodes. The service "desk" is plain, so its endpoints need no description.
class dispatch_fixture : public testing::Test {
protected:
    static constexpr auto syncWait = std::chrono::milliseconds(300);
    static constexpr auto grantLifetime = std::chrono::milliseconds(1000);

    explicit dispatch_fixture(std::size_t endpoints = 1)
    {
        vm_list_server_options options;
        for (std::size_t i = 0; i < endpoints; ++i)
            options.entries.push_back({ "127.0.0.1:" + std::to_string(20001 + i), "endpoint", "desk", "live", "d" });
        vms = std::make_unique<vm_list_server>(options, std::make_shared<history_writer>(""));
        directory = std::make_unique<endpoint_directory>(context, endpoint_directory_settings { vms->listen("127.0.0.1:0") },
            endpoint_directory::handlers { [] {}, [](const endpoint_id&) {}, [](const std::vector<node_id>&) {} });
        directory->setPlainServices({ service_id("desk") });
        directory->start();
        runUntil(context, [&] { return directory->endpoints().size() == endpoints; });

        pool_manager::handlers handlers;
        handlers.deliver = [this](const node_id& home, const scheduling_action& action) { delivered.emplace_back(home, action); };
        handlers.rejectOwner = [this](const node_id& home, const request_id&) { rejected.push_back(home); };
        handlers.requestSync = [this](const node_id& peer, const pool_id&) { syncRequested.push_back(peer); };
        poolManager = std::make_unique<pool_manager>(self.node, syncWait, grantLifetime, eventHistory, std::move(handlers));
        peer_mesh_settings meshSettings;
        meshSettings.keys = { { "k", "secret-of-the-test-cluster" } };
        mesh = std::make_unique<peer_mesh>(
            context, peer_identity { self, failure_domain("d"), "r", "127.0.0.1:1" }, meshSettings, peer_mesh_handlers {});
        tickets = std::make_unique<ticket_service>(
            context, self, ticket_service_settings { .keys = meshSettings.keys, .answerTimeout = std::chrono::milliseconds(20) }, *mesh);
        dispatch = std::make_unique<dispatch_control>(self, *poolManager, *mesh, *tickets, eventHistory);
    }

    static member_update memberOf(const process_identity& process)
    {
        member_update member;
        member.node = process.node;
        member.run = process.run;
        member.domain = failure_domain("d");
        member.httpAddress = "http-of-" + process.node.value;
        return member;
    }

    /// Sets the live members, which determine the owner of the pool.
    void setMembers(const std::vector<process_identity>& processes)
    {
        auto view = std::make_shared<fleet_view>();
        view->version = config_version(1);
        auto& policy = view->services[service_id("desk")];
        policy.definition.name = "desk";
        policy.definition.kind = schema::service_kind::plain;
        std::ranges::transform(processes, std::back_inserter(view->members), memberOf);
        poolManager->update(now, *view, *directory);
        dispatch->update(now, view, *directory);
    }
    bool owns() const { return !poolManager->status(now).empty(); }

    /// Returns a process that owns the pool if it and this node are the only members.
    process_identity otherOwner() const
    {
        for (int port = 1000;; ++port) {
            const process_identity other { node_id("127.0.0.1:" + std::to_string(port)), incarnation(5) };
            const std::vector<member_update> members { memberOf(self), memberOf(other) };
            if (poolOwner(pool, members) == other.node)
                return other;
        }
    }

    dispatch_request request(std::uint64_t sequence, std::string ticketText = {}) const
    {
        dispatch_request result;
        result.id = { self.run.value, sequence };
        result.service = service_id("desk");
        result.plainService = true;
        result.team = team_id("t");
        result.promptTokens = result.maxOutputTokens = tokens(1);
        result.arrival = now;
        result.deadline = now + std::chrono::seconds(60);
        result.ticket = std::move(ticketText);
        return result;
    }
    void acquire(std::uint64_t sequence, const std::string& ticketText = {})
    {
        dispatch->acquire(now, request(sequence, ticketText),
            [this, sequence](dispatch_decision decision) { decisions.emplace_back(sequence, std::move(decision)); });
        deliverLocalActions();
    }
    /// Delivers the owner's actions for requests of this node to the home, as the daemon does.
    void deliverLocalActions()
    {
        while (!delivered.empty()) {
            const auto [home, action] = delivered.front();
            delivered.erase(delivered.begin());
            if (home == self.node)
                dispatch->deliver(now, self.node, action);
        }
    }
    void finish(std::uint64_t sequence, std::optional<stored_response> answer = std::nullopt)
    {
        slot_release release;
        release.request = { self.run.value, sequence };
        dispatch->finished(now, release, std::move(answer));
        deliverLocalActions();
    }
    template <typename Kind> std::size_t count(std::uint64_t sequence) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            decisions, [&](const auto& entry) { return entry.first == sequence && std::holds_alternative<Kind>(entry.second); }));
    }
    template <typename Kind> const Kind& decision(std::size_t index) const { return std::get<Kind>(decisions.at(index).second); }
    std::size_t running() const
    {
        std::size_t total = 0;
        for (const auto& entry : poolManager->status(now)) {
            for (const auto& endpoint : entry.endpoints)
                total += endpoint.running;
        }
        return total;
    }
    std::string issueTicket(const std::vector<process_identity>& processes)
    {
        std::vector<member_update> members;
        std::ranges::transform(processes, std::back_inserter(members), memberOf);
        return tickets->issue(now, memberOf(self), members).value_or("");
    }

    const process_identity self { node_id("127.0.0.1:999"), incarnation(100) };
    const pool_id pool { service_id("desk"), 0 };
    monotonic_time now = std::chrono::steady_clock::now();
    boost::asio::io_context context { 1 };
    history eventHistory { "", "n", 1 };
    std::unique_ptr<vm_list_server> vms;
    std::unique_ptr<endpoint_directory> directory;
    std::unique_ptr<pool_manager> poolManager;
    std::unique_ptr<peer_mesh> mesh;
    std::unique_ptr<ticket_service> tickets;
    std::unique_ptr<dispatch_control> dispatch;
    std::vector<std::pair<node_id, scheduling_action>> delivered;
    std::vector<node_id> rejected;
    std::vector<node_id> syncRequested;
    std::vector<std::pair<std::uint64_t, dispatch_decision>> decisions;
};

} // namespace carawaylink
