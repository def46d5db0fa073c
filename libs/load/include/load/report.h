#pragma once

#include "load/history.h"

#include <map>
#include <string>

namespace carawaylink::load {

/// Writes DIR/index.html with plots of goodput by tier, wasted prefill and latency, drawn by gnuplot. The folder is created.
/// Throws error(unavailable) where the folder cannot be written or gnuplot fails.
void writeReport(const history& merged, const std::map<std::string, double>& teamWeights, const std::string& directory);

} // namespace carawaylink::load
