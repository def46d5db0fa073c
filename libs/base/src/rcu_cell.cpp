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
// liburcu is not instrumented, so these annotations tell ThreadSanitizer about the ordering that a grace period guarantees.
#if defined(__SANITIZE_THREAD__)
char gracePeriod = 0;
void annotateRelease()
{
    __tsan_release(&gracePeriod);
}
void annotateAcquire()
{
    __tsan_acquire(&gracePeriod);
}
#else
void annotateRelease() { }
void annotateAcquire() { }
#endif
} // namespace

void readLock()
{
    urcu_bp_read_lock();
}

void readUnlock()
{
    annotateRelease();
    urcu_bp_read_unlock();
}

void synchronize()
{
    urcu_bp_synchronize_rcu();
    annotateAcquire();
}

} // namespace carawaylink::rcu_detail
