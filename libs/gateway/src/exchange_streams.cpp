#include "exchange.h"

#include "base/time.h"

#include <utility>

// How a stream keeps to the software version that began it.
namespace carawaylink::gateway {

void exchange::recordStart()
{
    const auto& attempt = m_admitted.metadata.attempt;
    // A caller names the attempt that brought the first event, so that only that one needs a record.
    if (!m_admitted.route.mayGoOnElsewhere() || m_streamVersion || attempt.empty())
        return;
    const auto number = ++m_startNumber;
    m_isStartRecorded = m_dispatcher.streams().begin(
        { stream_versions::idOf(attempt), number, { m_admitted.service, m_sendVersion } },
        [self = weak_from_this(), number] {
            if (const auto alive = self.lock(); alive && alive->m_startNumber == number)
                alive->onStartRecorded();
        },
        m_sentAt);
}

void exchange::onStartRecorded()
{
    m_isStartRecorded = true;
    if (m_state == state::done || m_waitingEvents.empty())
        return;
    deliver();
    if (m_isStreamComplete)
        finishStream();
}

void exchange::onStartUnrecorded(monotonic_time now)
{
    const auto base = m_dispatcher.streams().servedBase(m_admitted.service);
    const bool beginsAnew = base && !m_isStreamComplete && canRetry(placement::outcome::cancelled, now) && tryTakeRetry();
    m_dispatcher.log()
        .event("stream_start_unrecorded")
        .field("request", m_admitted.metadata.attempt)
        .field("version", m_sendVersion)
        .field("base", base.value_or(""))
        .field("waited_ms", wholeMilliseconds(now - m_eventsWaitSince))
        .field("begins_anew", beginsAnew);
    m_dispatcher.metrics().streamStart(beginsAnew ? "begun_anew" : base ? "given_up" : "unrecorded");
    if (!base) {
        onStartRecorded();
        return;
    }
    recordOutcome(placement::outcome::cancelled);
    endAttempt(placement::outcome::cancelled, "the start of the stream could not be recorded", beginsAnew);
    forgetStream();
    if (beginsAnew)
        enqueue(now, true);
    else
        sendFailure(placement::outcome::cancelled);
}

void exchange::forgetStream()
{
    m_streamVersion.reset();
    m_waitingEvents.clear();
    m_splitter = event_splitter(m_admitted.metadata.lastEventId);
    m_eventsBeforeAttempt = 0;
    countMemory();
}

std::optional<std::string> exchange::requiredVersion() const
{
    if (m_streamVersion || !m_admitted.route.mayGoOnElsewhere())
        return m_streamVersion;
    // While the store takes no records, streams can begin only where none is needed.
    const auto& known = m_dispatcher.streams();
    return known.isDelayed() ? known.servedBase(m_admitted.service) : std::nullopt;
}

bool exchange::isVersionGone() const
{
    return m_streamVersion && m_dispatcher.streams().endpointsOf({ m_admitted.service, *m_streamVersion }) == 0;
}

} // namespace carawaylink::gateway
