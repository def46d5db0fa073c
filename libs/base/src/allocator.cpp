#include "base/allocator.h"

#include <malloc.h>

namespace carawaylink {

// By default, glibc raises the size of blocks that it maps one by one to that of the largest one freed, up to 32 MiB. Larger buffers of
// messages then come from its heaps, and each small block behind a freed buffer keeps the buffer's pages. With 22 answers of up to 8 MiB,
// the peak of a process was 67 to 134 MB; with this setting it was 66 to 70 MB.
void returnLargeBlocks()
{
#ifdef M_MMAP_THRESHOLD
    constexpr int mappedBlockBytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
#endif
}

} // namespace carawaylink
