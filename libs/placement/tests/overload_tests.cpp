#include "overload_trial.h"

#include <gtest/gtest.h>
#include <iostream>

namespace carawaylink::placement {
namespace {

// Figures of a trial for the comparison of versions.
void print(const overload_trial& trial)
{
    for (std::size_t level = 0; level < trial.results.size(); ++level) {
        const auto& one = trial.results[level];
        std::cout << "class " << level << ": asked " << one.asked << ", answered " << one.answered << ", in time " << one.inTime
                  << ", refused again " << one.refusedAgain << '\n';
    }
    std::cout << "all: asked " << trial.asked() << ", answered " << trial.answered() << ", in time " << trial.inTime() << ", refused again "
              << trial.refusedAgain() << ", recovery " << std::chrono::duration<double>(trial.recovery).count() << " s\n";
}

TEST(overload_test, longOverload_ofThreeClasses_servesEachItsShareInOrderOfTiers)
{
    // Guards against starvation: under strict priority the least urgent class was served less than a quarter as often as all requests.
    overload_trial trial({ 0s, 30s, 1.4 });
    trial.run(30s);
    print(trial);
    EXPECT_GE(trial.results[2].share(), 0.5 * trial.share());
    EXPECT_GE(trial.results[1].share(), trial.results[2].share());
    EXPECT_GE(trial.results[0].share(), 0.95);
    EXPECT_GT(trial.pool().takeAdmissionCounts().floorStarts, 0U);
}

} // namespace
} // namespace carawaylink::placement
