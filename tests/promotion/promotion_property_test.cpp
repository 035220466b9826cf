#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>
#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <utility>

#include "tests/promotion/promotion_simulation.h"

namespace laburnumkeel::testing {
namespace {

constexpr std::size_t kSteps = 8000;

class PromotionPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionPropertyTest);
  CPPUNIT_TEST(KeepsAcknowledgedWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->log_level = std::exchange(FLAGS_minloglevel, google::GLOG_FATAL);
  }
  void tearDown() override { FLAGS_minloglevel = this->log_level; }

  // Guards against acknowledged writes that a failover loses, and against
  // acknowledging writes of a former primary, under races, network partitions,
  // pauses, lost responses and store outages. The faults found with the naive
  // rules show that the sequences reach such situations.
  void KeepsAcknowledgedWrites() {
    std::map<WriteRules, SimulationCounts> totals;
    const bool passed = rc::check("acknowledged writes are kept", [&] {
      const auto numbers = *rc::gen::container<std::vector<unsigned>>(
          kSteps, rc::gen::inRange(0U, 1U << 24U));
      for (const auto& [rules, name] : this->names) {
        PromotionSimulation simulation(rules);
        for (const unsigned number : numbers) {
          simulation.Step(number);
        }
        const SimulationCounts counts = simulation.Finish();
        Add(totals[rules], counts);
        if (rules == WriteRules::kTested) {
          RC_ASSERT(counts.missing == 0);
          RC_ASSERT(counts.late == 0);
          RC_ASSERT(counts.publication_faults == 0);
        }
      }
    });
    for (const auto& [rules, name] : this->names) {
      const SimulationCounts& total = totals[rules];
      std::cerr << name << ": acknowledged=" << total.acknowledged
                << " promotions=" << total.promotions
                << " missing=" << total.missing << " late=" << total.late
                << "\n";
    }
    CPPUNIT_ASSERT(passed);
    CPPUNIT_ASSERT(totals[WriteRules::kTested].acknowledged > 1000);
    CPPUNIT_ASSERT(totals[WriteRules::kTested].promotions > 100);
    CPPUNIT_ASSERT(totals[WriteRules::kAcknowledgeOnResponse].missing > 0);
    CPPUNIT_ASSERT(totals[WriteRules::kAcknowledgeOnResponse].late > 0);
    CPPUNIT_ASSERT(totals[WriteRules::kHighestPosition].missing > 0);
    CPPUNIT_ASSERT(totals[WriteRules::kUnsealed].missing > 0);
  }

 private:
  static void Add(SimulationCounts& total, const SimulationCounts& counts) {
    total.acknowledged += counts.acknowledged;
    total.promotions += counts.promotions;
    total.missing += counts.missing;
    total.late += counts.late;
    total.publication_faults += counts.publication_faults;
  }

  const std::map<WriteRules, std::string> names{
      {WriteRules::kTested, "tested rules"},
      {WriteRules::kAcknowledgeOnResponse, "naive: acknowledge on response"},
      {WriteRules::kHighestPosition, "naive: highest position of any term"},
      {WriteRules::kUnsealed, "naive: promotion without seal"}};
  int log_level = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionPropertyTest);

}  // namespace
}  // namespace laburnumkeel::testing
