#ifndef LABURNUMKEEL_BENCHMARKS_CAPACITY_SERIES_H_
#define LABURNUMKEEL_BENCHMARKS_CAPACITY_SERIES_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "benchmarks/capacity/line_fit.h"

namespace laburnumkeel::benchmarks {

// Measurements of several quantities as functions of one size, printed as a
// table with a fitted line for each quantity.
class Series {
 public:
  // `title` names what is measured, `size_name` what the size counts.
  Series(std::string title, std::string size_name)
      : title(std::move(title)), size_name(std::move(size_name)) {}

  // `quantity` includes the unit.
  void Add(const std::string& quantity, double size, double value);

  // Writes the table and the lines to standard output.
  void Print() const;

 private:
  std::string title;
  std::string size_name;
  // In the order in which they were first added.
  std::vector<std::string> quantities;
  std::map<std::string, std::vector<Measurement>> measurements;
};

}  // namespace laburnumkeel::benchmarks

#endif  // LABURNUMKEEL_BENCHMARKS_CAPACITY_SERIES_H_
