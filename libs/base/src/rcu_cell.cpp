#include "base/rcu_cell.h"

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
extern "C" {
void __tsan_acquire(void* address);
void __tsan_release(void* address);
}
#endif

namespace carawaylink::rcu_detail {

namespace {
// liburcu is not instrumented, so ThreadSanitizer is told of the order that a grace period gives.
#if defined(__SANITIZE_THREAD__)
char gracePeriod = 0;
void announceRelease()
{
    __tsan_release(&gracePeriod);
}
void announceAcquire()
{
    __tsan_acquire(&gracePeriod);
}
#else
void announceRelease() { }
void announceAcquire() { }
#endif
} // namespace

void readLock()
{
    urcu_bp_read_lock();
}

void readUnlock()
{
    announceRelease();
    urcu_bp_read_unlock();
}

void synchronize()
{
    urcu_bp_synchronize_rcu();
    announceAcquire();
}

} // namespace carawaylink::rcu_detail
