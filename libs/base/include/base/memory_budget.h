#pragma once

#include <cstddef>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace carawaylink {

/// Limits the bytes that a process holds for messages that are incomplete or not sent yet. While they exceed the limit, the largest
/// holders are ended, one after another. Used by one thread.
///
///     memory_budget::holding body(&budget, "request_body", [this] { refuse(); });
///     body.set(m_body.size());
class memory_budget {
public:
    class holding;

    /// What ended a holder.
    struct excess {
        /// Kind of the holder.
        std::string_view kind;
        std::size_t holderBytes = 0;
        std::size_t usedBytes = 0;
    };

    /// defer: runs the work later on the same thread, so that no holder is ended from inside a call of its own.
    memory_budget(std::size_t maxBytes, std::function<void(std::function<void()>)> defer);
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Sets the function that learns of each holder before it is ended.
    void setOnExcess(std::function<void(const excess&)> observer) { m_onExcess = std::move(observer); }
    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t maxBytes() const { return m_maxBytes; }

private:
    void change(holding& holder, std::size_t before, std::size_t after);
    void endLargestHolders();

    std::size_t m_maxBytes;
    std::function<void(std::function<void()>)> m_defer;
    std::function<void(const excess&)> m_onExcess;
    /// Those that hold at least one byte.
    std::unordered_set<holding*> m_holders;
    std::size_t m_usedBytes = 0;
    bool m_isScheduled = false;
};

/// The bytes that one message holds; none when it is destroyed.
class memory_budget::holding {
public:
    /// Counts nothing if there is no budget. kind: static text. end: frees the bytes by ending the message; called at most once for each
    /// time that the bytes exceed the limit.
    holding(memory_budget* budget, std::string_view kind, std::function<void()> end);
    ~holding();
    holding(const holding&) = delete;
    holding& operator=(const holding&) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    friend class memory_budget;

    memory_budget* m_budget;
    std::string_view m_kind;
    std::function<void()> m_end;
    std::size_t m_bytes = 0;
};

} // namespace carawaylink
