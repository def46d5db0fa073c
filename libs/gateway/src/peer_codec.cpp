#include "peer_codec.h"

#include "base/time.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <ranges>
#include <xxhash.h>

namespace carawaylink::gateway {

namespace {

// Clamps the value to the range of the field.
template <typename Field> Field saturated(std::int64_t value)
{
    return static_cast<Field>(
        std::clamp<std::int64_t>(value, std::numeric_limits<Field>::min(), std::int64_t { std::numeric_limits<Field>::max() }));
}

std::int64_t microseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

std::uint32_t encodeSpan(duration span)
{
    return saturated<std::uint32_t>(microseconds(span));
}

duration decodeSpan(std::int64_t value)
{
    return std::chrono::microseconds(value);
}

// Numbers on the wire are the positions in the enumeration; a number from a newer peer becomes the last value known here.
template <typename Enum> Enum decodeEnum(std::uint8_t value, Enum last)
{
    return static_cast<Enum>(std::min(value, static_cast<std::uint8_t>(last)));
}

discovery::replica_id replicaOf(std::uint64_t hash, const replica_lookup& lookup)
{
    const auto record = lookup(hash);
    return record ? record->id : discovery::replica_id {};
}

std::vector<peer::prompt_part> encodeParts(const placement::prompt_parts& parts)
{
    std::vector<peer::prompt_part> result;
    for (const auto& part : parts)
        result.emplace_back(part.prefix, saturated<std::uint32_t>(part.length.value));
    return result;
}

placement::prompt_parts decodeParts(const std::vector<peer::prompt_part>& parts)
{
    placement::prompt_parts result;
    for (const auto& part : parts | std::views::take(placement::maxPromptParts))
        result.push_back({ part.prefix(), tokens { part.length() } });
    return result;
}

std::unique_ptr<peer::slot_requestT> encodeRequest(const placement::waiting_request& request, monotonic_time now)
{
    auto result = std::make_unique<peer::slot_requestT>();
    result->id = request.id;
    result->team_tier = request.teamTier.value;
    result->tier = request.tier.value;
    result->prompt = saturated<std::uint32_t>(request.prompt.value);
    result->output = saturated<std::uint32_t>(request.output.value);
    result->arrived_us = saturated<std::int32_t>(microseconds(request.arrived - now));
    result->target_us = saturated<std::int32_t>(microseconds(request.target - now));
    result->deadline_us = saturated<std::int32_t>(microseconds(request.deadline - now));
    result->max_event_gap_us = encodeSpan(request.maxEventGap);
    std::ranges::transform(request.excluded, std::back_inserter(result->excluded), replicaHash);
    result->was_admitted = request.wasAdmitted;
    result->response_started = request.responseStarted;
    result->prompt_parts = encodeParts(request.promptParts);
    result->route = request.route;
    result->is_bound = request.version.has_value();
    result->version = request.version.value_or("");
    return result;
}

placement::waiting_request decodeRequest(const peer::slot_requestT& message, const replica_lookup& lookup, monotonic_time now)
{
    placement::waiting_request request;
    request.id = message.id;
    request.teamTier = tier { message.team_tier };
    request.tier = tier { message.tier };
    request.prompt = tokens { message.prompt };
    request.output = tokens { message.output };
    request.arrived = now + decodeSpan(message.arrived_us);
    request.target = now + decodeSpan(message.target_us);
    request.deadline = now + decodeSpan(message.deadline_us);
    request.maxEventGap = decodeSpan(message.max_event_gap_us);
    for (const auto hash : message.excluded) {
        if (auto record = lookup(hash))
            request.excluded.push_back(std::move(record->id));
    }
    request.wasAdmitted = message.was_admitted;
    request.responseStarted = message.response_started;
    request.promptParts = decodeParts(message.prompt_parts);
    request.route = message.route;
    if (message.is_bound)
        request.version = message.version;
    return request;
}

std::vector<peer::held_part> encodeHeldParts(const std::vector<placement::adopted_request>& adopted)
{
    std::vector<peer::held_part> result;
    for (const auto& held : adopted) {
        for (const auto& part : held.promptParts) {
            result.emplace_back(
                held.id, part.prefix, saturated<std::uint32_t>(part.length.value), saturated<std::uint32_t>(held.kept.value));
        }
    }
    return result;
}

// The parts are in the order of the requests; those of an unknown one are skipped.
void decodeHeldParts(const std::vector<peer::held_part>& parts, std::vector<placement::adopted_request>& adopted)
{
    auto held = adopted.begin();
    for (const auto& part : parts) {
        const auto found = std::find_if(held, adopted.end(), [&](const auto& request) { return request.id == part.id(); });
        if (found == adopted.end())
            continue;
        held = found;
        held->kept = tokens { part.kept() };
        if (held->promptParts.size() < placement::maxPromptParts)
            held->promptParts.push_back({ part.prefix(), tokens { part.length() } });
    }
}

std::vector<std::unique_ptr<peer::answered_promptT>> encodeAnswered(const std::vector<placement::answered_prompt>& prompts)
{
    std::vector<std::unique_ptr<peer::answered_promptT>> result;
    for (const auto& prompt : prompts) {
        auto& entry = result.emplace_back(std::make_unique<peer::answered_promptT>());
        entry->replica = replicaHash(prompt.replica);
        entry->started_at_ms = prompt.startedAtMs;
        entry->parts = encodeParts(prompt.parts);
    }
    return result;
}

std::vector<placement::answered_prompt> decodeAnswered(
    const std::vector<std::unique_ptr<peer::answered_promptT>>& prompts, const replica_lookup& lookup)
{
    std::vector<placement::answered_prompt> result;
    for (const auto& prompt : prompts) {
        if (prompt)
            result.push_back({ replicaOf(prompt->replica, lookup), prompt->started_at_ms, decodeParts(prompt->parts) });
    }
    return result;
}

std::vector<peer::grant_reuse> encodeReuse(const std::vector<placement::slot_grant>& grants)
{
    std::vector<peer::grant_reuse> result;
    for (const auto& [granted, speed] : grants) {
        if (granted.kept.value > 0 || granted.prefillWait > duration {})
            result.emplace_back(granted.id, saturated<std::uint32_t>(granted.kept.value), encodeSpan(granted.prefillWait));
    }
    return result;
}

void decodeReuse(const std::vector<peer::grant_reuse>& reuse, std::vector<placement::slot_grant>& grants)
{
    for (const auto& entry : reuse) {
        const auto found = std::ranges::find(grants, entry.id(), [](const auto& grant) { return grant.granted.id; });
        if (found == grants.end())
            continue;
        found->granted.kept = tokens { entry.kept() };
        found->granted.prefillWait = decodeSpan(entry.prefill_wait_us());
    }
}

placement::slot_grant decodeGrant(const peer::slot_grant& message, const replica_lookup& lookup)
{
    placement::slot_grant result;
    result.granted.id = message.id();
    if (const auto record = lookup(message.replica())) {
        result.granted.replica = record->id;
        result.granted.address = record->address;
    }
    result.granted.expectedFirstEvent = decodeSpan(message.expected_first_us());
    result.granted.running = message.running();
    result.speed = { message.base_ms(), message.ms_per_token(), message.ms_per_event(), message.samples() };
    return result;
}

constexpr double endedLimit = -1;

std::vector<peer::slot_limit> encodeLimits(const std::vector<placement::request_limit_report>& limits)
{
    std::vector<peer::slot_limit> result;
    for (const auto& limit : limits)
        result.emplace_back(replicaHash(limit.replica), limit.perSecond.value_or(endedLimit));
    return result;
}

std::vector<placement::request_limit_report> decodeLimits(const std::vector<peer::slot_limit>& limits, const replica_lookup& lookup)
{
    std::vector<placement::request_limit_report> result;
    for (const auto& limit : limits) {
        const auto perSecond = limit.per_second() < 0 ? std::nullopt : std::optional(limit.per_second());
        result.push_back({ replicaOf(limit.replica(), lookup), perSecond });
    }
    return result;
}

std::vector<std::unique_ptr<peer::endpoint_noticeT>> encodeNotices(const std::vector<placement::notice_report>& notices, monotonic_time now)
{
    std::vector<std::unique_ptr<peer::endpoint_noticeT>> result;
    for (const auto& notice : notices) {
        auto entry = std::make_unique<peer::endpoint_noticeT>();
        entry->replica = replicaHash(notice.replica);
        entry->started_at_ms = notice.startedAtMs;
        entry->is_leaving = notice.isLeaving;
        entry->rest_us = encodeSpan(notice.restUntil.value_or(now) - now);
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<placement::notice_report> decodeNotices(
    const std::vector<std::unique_ptr<peer::endpoint_noticeT>>& notices, const replica_lookup& lookup, monotonic_time now)
{
    std::vector<placement::notice_report> result;
    for (const auto& notice : notices) {
        if (!notice)
            continue;
        const auto restUntil = notice->rest_us == 0 ? std::nullopt : std::optional(now + decodeSpan(notice->rest_us));
        result.push_back({ replicaOf(notice->replica, lookup), notice->started_at_ms, notice->is_leaving, restUntil });
    }
    return result;
}

} // namespace

std::uint64_t replicaHash(const discovery::replica_id& id)
{
    return XXH64(id.value.data(), id.value.size(), 0);
}

limits::team_hash teamHash(const team_id& team)
{
    return XXH64(team.value.data(), team.value.size(), 0);
}

quarantine::service_hash serviceHash(const service_id& service)
{
    return quarantine::service_hash { XXH64(service.value.data(), service.value.size(), 0) };
}

quarantine::part_hash partHash(quarantine::service_hash service, std::string_view id)
{
    return quarantine::part_hash { XXH64(id.data(), id.size(), service.value) };
}

std::uint32_t encodeMilliseconds(duration span)
{
    return saturated<std::uint32_t>(wholeMilliseconds(span));
}

peer::slot_callT encodeCall(const placement::slot_call& call, monotonic_time now)
{
    peer::slot_callT message;
    message.service = call.pool.service.value;
    message.pool = call.pool.number;
    message.session = call.session;
    message.sequence = call.sequence;
    message.wants_reply = call.wantsReply;
    message.domain = call.domain.value;
    message.withdrawn = call.withdrawn;
    for (const auto& report : call.progress)
        message.progress.emplace_back(report.id, saturated<std::uint32_t>(static_cast<std::int64_t>(report.events)));
    for (const auto& report : call.outcomes) {
        message.outcomes.emplace_back(
            report.id, saturated<std::uint32_t>(static_cast<std::int64_t>(report.events)), static_cast<std::uint8_t>(report.result));
    }
    for (const auto& held : call.adopted) {
        message.adopted.emplace_back(held.id, replicaHash(held.replica), saturated<std::uint32_t>(held.prompt.value),
            saturated<std::uint32_t>(held.output.value), encodeSpan(held.expectedFirstEvent), held.hasFirstEvent);
    }
    message.held_parts = encodeHeldParts(call.adopted);
    message.answered = encodeAnswered(call.answered);
    for (const auto& request : call.requests)
        message.requests.push_back(encodeRequest(request, now));
    message.limits = encodeLimits(call.limits);
    message.notices = encodeNotices(call.notices, now);
    if (call.held) {
        message.held_slots = static_cast<std::int32_t>(call.held->running);
        message.applied_reply = call.held->appliedReply;
    }
    return message;
}

placement::slot_call decodeCall(const peer::slot_callT& message, const replica_lookup& lookup, monotonic_time now)
{
    placement::slot_call call;
    call.pool = { service_id { message.service }, message.pool };
    call.session = message.session;
    call.sequence = message.sequence;
    call.wantsReply = message.wants_reply;
    call.domain = failure_domain { message.domain };
    call.withdrawn = message.withdrawn;
    for (const auto& report : message.progress)
        call.progress.push_back({ report.id(), report.events() });
    for (const auto& report : message.outcomes)
        call.outcomes.push_back({ report.id(), decodeEnum(report.result(), placement::outcome::cancelled), report.events() });
    for (const auto& held : message.adopted) {
        call.adopted.push_back({ held.id(), {}, replicaOf(held.replica(), lookup), tokens { held.prompt() }, tokens { held.output() },
            decodeSpan(held.expected_first_us()), held.has_first_event() });
    }
    decodeHeldParts(message.held_parts, call.adopted);
    call.answered = decodeAnswered(message.answered, lookup);
    for (const auto& request : message.requests) {
        if (request)
            call.requests.push_back(decodeRequest(*request, lookup, now));
    }
    call.limits = decodeLimits(message.limits, lookup);
    call.notices = decodeNotices(message.notices, lookup, now);
    if (message.held_slots >= 0)
        call.held = placement::held_slots { static_cast<std::uint32_t>(message.held_slots), message.applied_reply };
    return call;
}

peer::slot_replyT encodeReply(const placement::slot_reply& reply)
{
    peer::slot_replyT message;
    message.service = reply.pool.service.value;
    message.pool = reply.pool.number;
    message.session = reply.session;
    message.sequence = reply.sequence;
    message.processed = reply.processed;
    message.status = static_cast<std::uint8_t>(reply.status);
    message.slots = reply.load.slots;
    message.running = reply.load.running;
    message.waiting = reply.load.waiting;
    for (const auto& entry : reply.grants) {
        message.grants.emplace_back(entry.granted.id, replicaHash(entry.granted.replica), encodeSpan(entry.granted.expectedFirstEvent),
            entry.granted.running, static_cast<float>(entry.speed.baseMs), static_cast<float>(entry.speed.msPerToken),
            static_cast<float>(entry.speed.msPerEvent), entry.speed.samples);
    }
    for (const auto& refused : reply.refusals) {
        message.refusals.emplace_back(refused.id, encodeSpan(refused.retryAfter),
            saturated<std::uint32_t>(static_cast<std::int64_t>(refused.ahead)), static_cast<std::uint8_t>(refused.cause));
    }
    for (const auto& wait : reply.waitReports) {
        message.waits.emplace_back(wait.id, encodeSpan(wait.waited), saturated<std::uint32_t>(static_cast<std::int64_t>(wait.ahead)),
            wait.unusable, wait.full, wait.prefillBusy, wait.tooSlow);
    }
    message.limits = encodeLimits(reply.limits);
    message.reuse = encodeReuse(reply.grants);
    if (reply.versions)
        message.rollout = std::make_unique<peer::rollout_rulesT>(encodeRules(reply.pool.service, *reply.versions, 0));
    return message;
}

placement::slot_reply decodeReply(const peer::slot_replyT& message, const replica_lookup& lookup)
{
    placement::slot_reply reply;
    reply.pool = { service_id { message.service }, message.pool };
    reply.session = message.session;
    reply.sequence = message.sequence;
    reply.processed = message.processed;
    reply.status = decodeEnum(message.status, placement::call_status::unknown_session);
    reply.load = { message.slots, message.running, message.waiting };
    for (const auto& entry : message.grants)
        reply.grants.push_back(decodeGrant(entry, lookup));
    decodeReuse(message.reuse, reply.grants);
    for (const auto& refused : message.refusals) {
        reply.refusals.push_back({ refused.id(), decodeEnum(refused.cause(), placement::refusal_cause::version_gone),
            decodeSpan(refused.retry_after_us()), refused.ahead() });
    }
    for (const auto& wait : message.waits) {
        reply.waitReports.push_back(
            { wait.id(), decodeSpan(wait.waited_us()), wait.ahead(), wait.unusable(), wait.full(), wait.prefill_busy(), wait.too_slow() });
    }
    reply.limits = decodeLimits(message.limits, lookup);
    if (message.rollout)
        reply.versions = decodeRules(*message.rollout);
    return reply;
}

peer::stream_startsT encodeStarts(const std::vector<streams::stream_start>& starts)
{
    std::map<streams::software_version, std::unique_ptr<peer::stream_start_groupT>> groups;
    for (const auto& start : starts) {
        auto& group = groups[start.software];
        if (!group) {
            group = std::make_unique<peer::stream_start_groupT>();
            group->service = start.software.service.value;
            group->version = start.software.version;
        }
        group->sends.emplace_back(start.stream.value, start.send);
    }
    peer::stream_startsT message;
    for (auto& [software, group] : groups)
        message.groups.push_back(std::move(group));
    return message;
}

std::vector<streams::stream_start> decodeStarts(const peer::stream_startsT& message)
{
    std::vector<streams::stream_start> result;
    for (const auto& group : message.groups) {
        if (!group)
            continue;
        const streams::software_version software { service_id { group->service }, group->version };
        for (const auto& send : group->sends)
            result.push_back({ streams::stream_id { send.stream() }, send.send(), software });
    }
    return result;
}

std::string encodeStartRecord(const std::vector<streams::stream_start>& starts)
{
    const auto message = encodeStarts(starts);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(peer::stream_starts::Pack(builder, &message));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::vector<streams::stream_start> decodeStartRecord(const std::string& record)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(record.data());
    flatbuffers::Verifier verifier(bytes, record.size());
    if (!verifier.VerifyBuffer<peer::stream_starts>(nullptr))
        return {};
    peer::stream_startsT message;
    flatbuffers::GetRoot<peer::stream_starts>(bytes)->UnPackTo(&message);
    return decodeStarts(message);
}

} // namespace carawaylink::gateway
