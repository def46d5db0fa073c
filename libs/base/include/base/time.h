#pragma once

#include "base/ids.h"

namespace carawaylink {

/// Fractional seconds or milliseconds of a time span.
inline double inSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

inline double inMilliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Whole milliseconds of a time span, rounded towards zero.
inline long long wholeMilliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace carawaylink
