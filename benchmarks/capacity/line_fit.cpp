#include "benchmarks/capacity/line_fit.h"

#include <algorithm>
#include <cmath>

namespace laburnumkeel::benchmarks {

LineFit FitLine(const std::vector<Measurement>& measurements) {
  const auto count = static_cast<double>(measurements.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Measurement& measurement : measurements) {
    mean_size += measurement.size / count;
    mean_value += measurement.value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Measurement& measurement : measurements) {
    const double distance = measurement.size - mean_size;
    covariance += distance * (measurement.value - mean_value);
    variance += distance * distance;
  }
  LineFit fit;
  fit.slope = variance > 0 ? covariance / variance : 0;
  fit.base = mean_value - fit.slope * mean_size;
  for (const Measurement& measurement : measurements) {
    const double deviation =
        std::abs(fit.base + fit.slope * measurement.size - measurement.value);
    if (measurement.value != 0) {
      fit.largest_deviation = std::max(fit.largest_deviation,
                                       deviation / std::abs(measurement.value));
    }
  }
  return fit;
}

}  // namespace laburnumkeel::benchmarks
