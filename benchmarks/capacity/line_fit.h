#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_LINE_FIT_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_LINE_FIT_H_

#include <vector>

namespace laburnumkeel::benchmarks {

// One measurement: `value` at size `size`.
struct Measurement {
  double size = 0;
  double value = 0;

  bool operator==(const Measurement&) const = default;
};

// The line `base + slope * size`.
struct LineFit {
  double base = 0;
  double slope = 0;
  // Largest relative deviation of a measurement from the line, as a fraction of
  // the measurement. A large value means that the cost is not linear.
  double largest_deviation = 0;

  bool operator==(const LineFit&) const = default;
};

// Least squares fit; needs measurements at two or more sizes.
LineFit FitLine(const std::vector<Measurement>& measurements);

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_LINE_FIT_H_
