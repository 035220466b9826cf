#include "benchmarks/capacity/series.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kNameWidth = 34;
constexpr int kValueWidth = 12;
constexpr double kPercent = 100;

}  // namespace

void Series::Add(const std::string& quantity, double size, double value) {
  if (std::find(this->quantities.begin(), this->quantities.end(), quantity) ==
      this->quantities.end()) {
    this->quantities.push_back(quantity);
  }
  this->measurements[quantity].push_back(Measurement{size, value});
}

void Series::Print() const {
  std::cout << "\n" << this->title << ", against " << this->size_name << "\n";
  std::cout << std::left << std::setprecision(4);
  for (const std::string& quantity : this->quantities) {
    const std::vector<Measurement>& values = this->measurements.at(quantity);
    std::cout << "  " << std::setw(kNameWidth) << quantity;
    for (const Measurement& measurement : values) {
      std::cout << std::setw(kValueWidth)
                << std::to_string(static_cast<int>(measurement.size)) + ":";
    }
    std::cout << "line\n  " << std::setw(kNameWidth) << "";
    for (const Measurement& measurement : values) {
      std::cout << std::setw(kValueWidth) << measurement.value;
    }
    const LineFit fit = FitLine(values);
    std::cout << fit.base << " + " << fit.slope << " x size (deviation up to "
              << fit.largest_deviation * kPercent << "%)\n";
  }
  std::cout << std::flush;
}

}  // namespace laburnumkeel::benchmarks
