#include "programs/laburnumkeel-load/load_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "programs/laburnumkeel-load/load_plan.h"

namespace laburnumkeel::load {
namespace {

class LoadReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportTest);
  CPPUNIT_TEST(MeasuresTheGapBetweenTerms);
  CPPUNIT_TEST(CountsARefusalWithinRateAsWrongful);
  CPPUNIT_TEST(CountsReadsByReplicas);
  CPPUNIT_TEST(MalformedAccountErrorOmitsTheKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a failover gap that is computed between writes of two
  // groups, or between writes of the same term.
  void MeasuresTheGapBetweenTerms() {
    LoadReport report;
    report.Add(Write("g1", 1, 1.0));
    report.Add(Write("g1", 1, 2.0));
    report.Add(Write("g2", 1, 4.0));
    report.Add(Write("g1", 2, 5.5));
    report.Add(Write("g1", 2, 6.0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        3.5, report.ToJson()["failover_gap_s"].get<double>(), 1e-9);
  }

  // Guards against counting a refusal over the account's rate as wrongful, and
  // a refusal within the rate as justified.
  void CountsARefusalWithinRateAsWrongful() {
    LoadReport report;
    Sample refused = Read("replica");
    refused.status = 429;
    report.Add(refused);
    refused.within_rate = false;
    report.Add(refused);
    report.Add(Read("replica"));
    const auto json = report.ToJson();
    CPPUNIT_ASSERT_EQUAL(1, json["refused_within_rate"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, json["within_rate"].get<int>());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5, json["worst_account_served_share"].get<double>(), 1e-9);
  }

  // Guards against counting writes in the share of reads by replicas.
  void CountsReadsByReplicas() {
    LoadReport report;
    report.Add(Read("replica"));
    report.Add(Read("primary"));
    report.Add(Write("g1", 1, 1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5, report.ToJson()["replica_read_share"].get<double>(), 1e-9);
  }

  // Guards against an error message that contains an API key.
  void MalformedAccountErrorOmitsTheKey() {
    const auto parsed = ParseAccounts("maan:secret-key:ten:5:1");
    CPPUNIT_ASSERT(!parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string::npos, parsed.error().find("secret"));
  }

 private:
  static Sample Write(const std::string& group, std::uint64_t term,
                      double end_s) {
    return Sample{"a",   group, false, true,      end_s - 0.1,
                  end_s, 200,   "",    "primary", term};
  }

  static Sample Read(const std::string& role) {
    return Sample{"a", "g1", true, true, 1, 1.1, 200, "", role, 1};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportTest);

}  // namespace
}  // namespace laburnumkeel::load
