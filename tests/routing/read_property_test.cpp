#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>
#include <rapidcheck.h>

#include <array>
#include <iostream>
#include <utility>

#include "tests/routing/read_simulation.h"

namespace laburnumkeel::testing {
namespace {

// 30 s of simulated time.
constexpr std::size_t kSteps = 3000;

class ReadPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadPropertyTest);
  CPPUNIT_TEST(SessionsNeverReadOlderState);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->log_level = std::exchange(FLAGS_minloglevel, google::GLOG_FATAL);
  }
  void tearDown() override { FLAGS_minloglevel = this->log_level; }

  // Guards against sessions that change VMs and read older state than they have
  // observed, against reads that exceed their bound on staleness, against
  // refusing reads that the primary could serve, and against idle replicas.
  void SessionsNeverReadOlderState() {
    std::array<ReadCounts, 4> totals;
    const bool passed = rc::check("sessions never read older state", [&] {
      const auto numbers = *rc::gen::container<std::vector<unsigned>>(
          kSteps, rc::gen::inRange(0U, 1U << 30U));
      for (std::size_t i = 0; i < this->variants.size(); ++i) {
        const auto& variant = this->variants.at(i);
        ReadSimulation simulation(variant.rules, variant.polling_period);
        for (const unsigned number : numbers) {
          simulation.Step(number);
        }
        totals.at(i).Add(simulation.Counts());
        if (variant.rules != ReadRules::kNaive) {
          RC_ASSERT(simulation.Counts().older == 0);
          RC_ASSERT(simulation.Counts().stale == 0);
          RC_ASSERT(simulation.Counts().needless_refusals == 0);
        }
      }
    });
    for (std::size_t i = 0; i < this->variants.size(); ++i) {
      const ReadCounts& total = totals.at(i);
      std::cerr << this->variants.at(i).name << ": reads=" << total.reads
                << " served=" << total.served << " by_replica="
                << 100.0 * total.by_replica / std::max(total.eligible, 1)
                << "% rejected=" << total.rejected << " older=" << total.older
                << " stale=" << total.stale
                << " needless_refusals=" << total.needless_refusals
                << " failovers=" << total.failovers << "\n";
    }
    CPPUNIT_ASSERT(passed);
    CPPUNIT_ASSERT(totals[0].failovers > 50);
    CPPUNIT_ASSERT(totals[0].by_replica >= 0.9 * totals[0].eligible);
    CPPUNIT_ASSERT(totals[3].older > 0);
    CPPUNIT_ASSERT(totals[3].stale > 0);
  }

 private:
  struct Variant {
    const char* name;
    ReadRules rules;
    std::chrono::milliseconds polling_period;
  };

  const std::array<Variant, 4> variants{
      {{"tested rules, polling every 500 ms", ReadRules::kTested,
        std::chrono::milliseconds(500)},
       {"measured replicas only, 500 ms", ReadRules::kMeasuredOnly,
        std::chrono::milliseconds(500)},
       {"measured replicas only, 100 ms", ReadRules::kMeasuredOnly,
        std::chrono::milliseconds(100)},
       {"naive: local endpoint unchecked", ReadRules::kNaive,
        std::chrono::milliseconds(500)}}};
  int log_level = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadPropertyTest);

}  // namespace
}  // namespace laburnumkeel::testing
