#include "programs/laburnumkeel-load/latency_histogram.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace laburnumkeel::load {
namespace {

class LatencyHistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyHistogramTest);
  CPPUNIT_TEST(QuantilesMatchASortedList);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a quantile that is more than the documented 9% too high:
  // compares the histogram with the exact quantile of the sorted samples.
  void QuantilesMatchASortedList() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto samples = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000000)));
      LatencyHistogram histogram;
      std::vector<double> sorted;
      for (const int microseconds : samples) {
        histogram.Add(microseconds / 1000.0);
        sorted.push_back(microseconds / 1000.0);
      }
      std::sort(sorted.begin(), sorted.end());
      for (const double quantile : {0.5, 0.99, 1.0}) {
        const auto rank = static_cast<std::size_t>(
            std::ceil(quantile * static_cast<double>(sorted.size())));
        const double exact = sorted[std::max<std::size_t>(rank, 1) - 1];
        RC_ASSERT(histogram.Quantile(quantile) >= exact * 0.999);
        RC_ASSERT(histogram.Quantile(quantile) <= exact * 1.091);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyHistogramTest);

}  // namespace
}  // namespace laburnumkeel::load
