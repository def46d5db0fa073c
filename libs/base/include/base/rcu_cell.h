#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace carawaylink {

namespace rcu_detail {
void readLock();
void readUnlock();
void synchronize();
} // namespace rcu_detail

/// Holds an immutable value that threads read without locking; writers replace it as a whole, one at a time.
/// Built on liburcu (bulletproof flavour: threads need no registration).
///
///     rcu_cell<table> cell(table {});
///     { auto view = cell.read(); use(*view); }   // release the guard soon: it blocks the writer
///     cell.replace(std::make_unique<table>(...));
template <typename Value> class rcu_cell {
public:
    class read_guard {
    public:
        explicit read_guard(const std::atomic<const Value*>& pointer)
        {
            rcu_detail::readLock();
            m_value = pointer.load(std::memory_order_acquire);
        }
        ~read_guard() { rcu_detail::readUnlock(); }
        read_guard(const read_guard&) = delete;
        read_guard& operator=(const read_guard&) = delete;

        const Value& operator*() const { return *m_value; }
        const Value* operator->() const { return m_value; }

    private:
        const Value* m_value;
    };

    explicit rcu_cell(Value initial)
        : m_value(new Value(std::move(initial)))
    {
    }
    ~rcu_cell() { delete m_value.load(); }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    read_guard read() const { return read_guard(m_value); }

    /// Publishes a new value, waits until no reader uses the old one, and frees the old one. Must not be called while the thread
    /// holds a read guard.
    void replace(std::unique_ptr<const Value> next)
    {
        const std::lock_guard lock(m_writerMutex);
        const Value* old = m_value.exchange(next.release(), std::memory_order_acq_rel);
        rcu_detail::synchronize();
        delete old;
    }

private:
    std::atomic<const Value*> m_value;
    std::mutex m_writerMutex;
};

} // namespace carawaylink
