#include "base/allocator.h"

#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace carawaylink {
namespace {

constexpr std::size_t bufferBytes = 4U << 20;
constexpr std::size_t buffers = 16;

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// The freed buffers of ended messages stayed with the process, beside its budget for messages, since small blocks lay between them.
TEST(allocator_test, freedLargeBuffers_leaveTheProcessAlsoBesideSmallBlocks)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    GTEST_SKIP() << "replaces the allocator";
#endif
    returnLargeBlocks();
    {
        const std::string largest(2 * bufferBytes, 'x');
    }
    const auto before = residentBytes();
    std::vector<std::string> large;
    std::vector<std::unique_ptr<std::string>> small;
    for (std::size_t i = 0; i < buffers; ++i) {
        large.emplace_back(bufferBytes, 'x');
        small.push_back(std::make_unique<std::string>(100, 'y'));
    }
    EXPECT_GT(residentBytes(), before + buffers * bufferBytes / 2);
    large.clear();
    EXPECT_LT(residentBytes(), before + 2 * bufferBytes);
}

} // namespace
} // namespace carawaylink
