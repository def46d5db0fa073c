#pragma once

namespace carawaylink {

/// Makes the allocator give each block of 128 KiB or more back to the system when it is freed. Call once, before other threads start.
/// Has no effect with an allocator that has no such setting.
void returnLargeBlocks();

} // namespace carawaylink
