#include "placement/latency_model.h"

#include <gtest/gtest.h>

namespace carawaylink::placement {
namespace {

using namespace std::chrono_literals;

class latency_model_test : public testing::Test {
protected:
    static double firstEventMs(const latency_model& model, std::int64_t before, std::int64_t prompt)
    {
        return std::chrono::duration<double, std::milli>(model.timeToFirstEvent(tokens { before }, tokens { prompt })).count();
    }
    // Trains the model with responses of an engine with the given fixed latency and prefill rate.
    static void trainModel(latency_model& model, double baseMs, double msPerToken)
    {
        for (int i = 0; i < 40; ++i) {
            for (const std::int64_t prompt : { 100, 800, 4000, 9000 }) {
                const std::chrono::duration<double, std::milli> elapsed(baseMs + msPerToken * static_cast<double>(prompt));
                model.recordFirstEvent(tokens { 0 }, tokens { prompt }, std::chrono::duration_cast<duration>(elapsed));
            }
        }
    }
};

TEST_F(latency_model_test, prediction_afterSamples_isWithinTenPercent)
{
    // Engines differ in speed by a factor of five; a single estimate for all would send long prompts to slow ones.
    for (const double msPerToken : { 0.004, 0.007, 0.02 }) {
        latency_model model;
        trainModel(model, 60, msPerToken);
        EXPECT_NEAR(firstEventMs(model, 0, 6000), 60 + 6000 * msPerToken, 0.1 * (60 + 6000 * msPerToken));
        EXPECT_NEAR(firstEventMs(model, 3000, 3000), 60 + 6000 * msPerToken, 0.1 * (60 + 6000 * msPerToken));
    }
}

TEST_F(latency_model_test, reportedEstimate_isUsedBeforeOwnSamplesAndReplacedByNewerOne)
{
    // In a large fleet each node uses an endpoint about twice a minute, too rarely to learn its speed alone during a burst.
    latency_model taught;
    trainModel(taught, 60, 0.02);
    latency_model fresh;
    fresh.setReported(taught.own());
    EXPECT_NEAR(firstEventMs(fresh, 0, 6000), firstEventMs(taught, 0, 6000), 1);
    latency_model faster;
    trainModel(faster, 60, 0.01);
    fresh.setReported(faster.own());
    EXPECT_NEAR(firstEventMs(fresh, 0, 6000), firstEventMs(faster, 0, 6000), 1);
}

TEST_F(latency_model_test, combinedEstimate_weightsNodesBySamples)
{
    const auto speed = combine({ 10, 0.01, 20, 10 }, { { 40, 0.04, 50, 5 }, { 1000, 1, 1000, 0 } });
    EXPECT_NEAR(speed.baseMs, 20, 1e-9);
    EXPECT_NEAR(speed.msPerEvent, 30, 1e-9);
}

} // namespace
} // namespace carawaylink::placement
