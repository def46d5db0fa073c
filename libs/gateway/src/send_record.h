#pragma once

namespace carawaylink::gateway {

/// What is known about the sends of one request. From its beginning, a send counts as executed until it is proved that it was not.
class send_record {
public:
    void begin()
    {
        ++m_delivered;
        ++m_unproved;
    }

    /// The latest send was not executed and will not be. wasDelivered: the intended endpoint received it.
    void proveNotExecuted(bool wasDelivered)
    {
        --m_unproved;
        if (wasDelivered)
            return;
        --m_delivered;
        ++m_undelivered;
    }

    bool mayHaveExecuted() const { return m_unproved > 0; }
    /// Sends that reached the intended endpoint or may have reached it.
    unsigned delivered() const { return m_delivered; }
    unsigned undelivered() const { return m_undelivered; }

private:
    unsigned m_delivered = 0;
    unsigned m_undelivered = 0;
    unsigned m_unproved = 0;
};

} // namespace carawaylink::gateway
