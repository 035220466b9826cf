#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/system/counting_writer.h"

namespace laburnumkeel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 4;
// Longest time until a data centre in state `out` receives no new requests.
constexpr seconds kDepartureBound{5};
// Keeps the callers of one VM within its initial share of the account's rate
// limit.
constexpr milliseconds kWriteInterval{200};

class DepartureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureTest);
  CPPUNIT_TEST(ADataCentreLeavesAndReturnsWithoutFailedRequests);
  CPPUNIT_TEST(AVmStopsWithoutCuttingRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failed requests when operators take a data centre out of
  // service, and against new requests or a primary that remain there.
  void ADataCentreLeavesAndReturnsWithoutFailedRequests() {
    FleetFixture fixture(standin::PolishingLedger(24));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    CountingWriter writer(fixture, standin::GroupName(0), kCallers);
    std::this_thread::sleep_for(seconds(2));
    const int primary = fixture.Fleet().FindPrimary(0);
    SetState(fixture, primary, "out");
    std::this_thread::sleep_for(kDepartureBound);
    CPPUNIT_ASSERT(fixture.Fleet().FindPrimary(0) != primary);
    const int before = Executions(fixture, primary);
    std::this_thread::sleep_for(seconds(2));
    for (int vm = 0; vm < standin::kVmCount; ++vm) {
      CPPUNIT_ASSERT_EQUAL(
          200, fixture.Read(vm, standin::GroupName(0), "GET counter-0").status);
    }
    CPPUNIT_ASSERT_EQUAL(before, Executions(fixture, primary));
    SetState(fixture, primary, "in");
    CPPUNIT_ASSERT(Eventually(seconds(10), [&] {
      fixture.Read(primary, standin::GroupName(0), "GET counter-0");
      return Executions(fixture, primary) > before;
    }));
    writer.Stop();
    CheckNothingFailed(writer, "data centre");
  }

  // Guards against requests that are interrupted by a planned shutdown of a VM.
  // Like the platform's load balancer, the callers send requests only while the
  // VM is ready.
  void AVmStopsWithoutCuttingRequests() {
    FleetFixture fixture(standin::PolishingLedger(25));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    std::atomic<bool> stopping = false;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        while (!stopping) {
          if (!fixture.Fleet().WaitUntilReady(0, milliseconds(100))) {
            break;
          }
          const auto response =
              fixture.Write(0, standin::GroupName(1), "ADD stopped 1");
          ++(response.status == 200 ? served : failed);
          std::this_thread::sleep_for(kWriteInterval);
        }
      });
    }
    std::this_thread::sleep_for(seconds(2));
    auto& vm = fixture.Fleet().Vm(0);
    vm.entry.RequestTermination();
    // A second signal must not abort the graceful shutdown.
    vm.entry.RequestTermination();
    const int exit_code = vm.entry.Terminate(seconds(15));
    stopping = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::cout << "VM shutdown: " << served << " served, " << failed
              << " failed\n";
    CPPUNIT_ASSERT_EQUAL(0, exit_code);
    CPPUNIT_ASSERT(served > 0);
    CPPUNIT_ASSERT_EQUAL(0, failed.load());
    const auto counted =
        fixture.Write(1, standin::GroupName(1), "ADD stopped 0");
    CPPUNIT_ASSERT_EQUAL(std::to_string(served.load()),
                         Field(counted.body, "/result"));
  }

 private:
  static void SetState(FleetFixture& fixture, int data_centre,
                       const std::string& state) {
    const auto response = fixture.Administer(
        1, "PUT",
        "/v1/data_centres/" + standin::DataCentreName(data_centre) + "/state",
        nlohmann::json{{"state", state}}.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
  }

  // Number of statements that the first group's endpoint in the data centre
  // executed.
  static int Executions(FleetFixture& fixture, int member) {
    const auto response = fixture.Fleet().Send(
        standin::EndpointAddress(fixture.Fleet().GetDeployment(), 0, member,
                                 standin::kFaultsPort),
        transport::HttpRequest{"GET", "/executions", {}, "", {}});
    const auto counts = nlohmann::json::parse(response.body, nullptr, false);
    const auto& executions =
        counts.contains("executions") ? counts["executions"] : counts;
    int total = 0;
    for (const auto& [request, count] : executions.items()) {
      total += count.get<int>();
    }
    return total;
  }

  static void CheckNothingFailed(const CountingWriter& writer,
                                 const std::string& label) {
    const CountingWriter::Tally total = writer.Total();
    std::cout << label << ": " << total.done << " done, " << total.not_run
              << " not run, " << total.unknown << " unknown, longest gap "
              << writer.LongestGap().count() << " ms\n";
    for (const auto& [code, count] : total.codes) {
      std::cout << "  " << code << ' ' << count << '\n';
    }
    CPPUNIT_ASSERT_EQUAL(0, total.not_run + total.unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTest);

}  // namespace
}  // namespace laburnumkeel::testing
