#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/system/fleet_fixture.h"

namespace laburnumkeel::testing {
namespace {

constexpr int kWritesPerFault = 8;

// Connection faults that are injected at the primary, most of them for a
// limited number of requests.
constexpr std::array kFaults{
    R"({"mode":"close_before_execute","count":4})",
    R"({"mode":"reset_after_read","count":4})",
    R"({"mode":"lose_answers","count":4})",
    R"({"mode":"half_answer","count":4})",
    R"({"mode":"crossed_answer","count":4})",
    R"({"mode":"doubled_answer","count":4})",
    R"({"mode":"oversized_answer","count":4})",
    R"({"mode":"late_answer","milliseconds":2500,"count":2})",
    R"({"mode":"freeze","scope":"existing"})",
};

class OutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeTest);
  CPPUNIT_TEST(WhatCallersAreToldMatchesWhatTheEndpointRan);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is executed twice, `not_run` reported for an
  // executed request, `done` reported for one that was not executed, and the
  // response of another request, for each point at which a connection can fail.
  void WhatCallersAreToldMatchesWhatTheEndpointRan() {
    FleetFixture fixture(standin::PolishingLedger(29));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    int number = 0;
    for (const char* fault : kFaults) {
      std::map<std::string, int> outcomes;
      CPPUNIT_ASSERT_MESSAGE(fault,
                             fixture.Fleet().SetEndpointFault(0, 0, fault));
      for (int write = 0; write < kWritesPerFault; ++write) {
        ++number;
        ++outcomes[this->WriteOnce(fixture, fault, number, write % 2 == 1)];
      }
      CPPUNIT_ASSERT(
          fixture.Fleet().SetEndpointFault(0, 0, R"({"mode":"none"})"));
      std::cout << fault << ": " << nlohmann::json(outcomes).dump() << '\n';
      // The group must accept writes again after the fault is cleared.
      CPPUNIT_ASSERT(Eventually(std::chrono::seconds(10), [&fixture] {
        return fixture.Write(1, "g1", "PUT probe x").status == 200;
      }));
    }
  }

 private:
  // Sends one write while the fault is active and returns the reported outcome.
  std::string WriteOnce(FleetFixture& fixture, const std::string& fault,
                        int number, bool idempotent) {
    const std::string id = "outcome-" + std::to_string(number);
    nlohmann::json body = {
        {"group", "g1"}, {"statement", "ADD " + id + " 1"}, {"request_id", id}};
    if (idempotent) {
      body["idempotency_id"] = id;
    }
    const auto response = fixture.Fleet().Call(
        number % standin::kVmCount, "write", fixture.Key(), body.dump(), "");
    const std::string outcome = response.status == 200
                                    ? "done"
                                    : Field(response.body, "/error/outcome");
    const std::string label = fault + " " + id + " " + response.body;
    CPPUNIT_ASSERT_MESSAGE(label, !outcome.empty());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(label, id,
                                 Field(response.body, "/request_id"));
    if (outcome == "done") {
      // Each counter receives one addition, so any other value indicates
      // another request's response or a second execution.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::string("1"),
                                   Field(response.body, "/result"));
    }
    const int executions = Executions(fixture, id);
    CPPUNIT_ASSERT_MESSAGE(label + " ran " + std::to_string(executions),
                           executions <= 1);
    if (outcome != "unknown") {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, outcome == "done" ? 1 : 0,
                                   executions);
    }
    return outcome;
  }

  // Number of executions of the request, over all attempts and all endpoints of
  // the group.
  static int Executions(FleetFixture& fixture, const std::string& id) {
    int total = 0;
    for (int member = 0; member < standin::kDataCentreCount; ++member) {
      const auto response = fixture.Fleet().Send(
          standin::EndpointAddress(fixture.Fleet().GetDeployment(), 0, member,
                                   standin::kFaultsPort),
          transport::HttpRequest{"GET", "/executions", {}, "", {}});
      const auto counts = nlohmann::json::parse(response.body, nullptr, false);
      CPPUNIT_ASSERT(counts.is_object());
      for (const auto& [request, count] : counts.items()) {
        if (request.starts_with(id + "/")) {
          total += count.get<int>();
        }
      }
    }
    return total;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

}  // namespace
}  // namespace laburnumkeel::testing
