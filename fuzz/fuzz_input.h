#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Ends the run with a finding where a property of the code under test does not hold.
inline void require(bool holds)
{
    if (!holds)
        std::abort();
}

inline std::string asString(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}
