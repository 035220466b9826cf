#include "laburnumkeel/endpoints/endpoint_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "tests/support/manual_clock.h"
#include "tests/support/scripted_server.h"
#include "tests/support/wait_until.h"

namespace laburnumkeel::endpoints {
namespace {

using testing::ManualClock;
using testing::Reply;
using testing::ScriptedServer;
using testing::WaitUntil;

class EndpointMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointMonitorTest);
  CPPUNIT_TEST(MeasuresFromTheTimeOfSending);
  CPPUNIT_TEST(ReportsFailureAndRecovery);
  CPPUNIT_TEST(RefusesTheStatusOfAnotherEndpoint);
  CPPUNIT_TEST(StopsDuringACall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against measuring staleness from the arrival of a late response
  // instead of from the sending of its request.
  void MeasuresFromTheTimeOfSending() {
    this->server.SetStatusReply(Reply::kLate);
    const kernel::Instant start = this->clock.Now();
    std::atomic<bool> measured = false;
    std::atomic<kernel::Duration::rep> age = -1;
    std::atomic<std::uint64_t> position = 0;
    EndpointMonitor<ManualClock> monitor(
        this->Settings("endpoint-1"),
        [&](const model::EndpointStatus& status, kernel::Instant measured_at) {
          if (!measured) {
            position = status.log_end.position;
            age = (measured_at - start).count();
            measured = true;
          }
        },
        [](const EndpointError&) {}, this->clock);
    CPPUNIT_ASSERT(WaitUntil([&] { return this->server.StatusCalls() == 1; }));
    this->clock.Advance(std::chrono::seconds(5));
    CPPUNIT_ASSERT(WaitUntil([&] { return measured.load(); }));
    monitor.Stop();
    CPPUNIT_ASSERT_EQUAL(kernel::Duration::rep{0}, age.load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, position.load());
  }

  // Guards against a monitor that stops polling after a failure.
  void ReportsFailureAndRecovery() {
    this->server.SetStatusReply(Reply::kCloseAfterReading);
    std::atomic<int> failures = 0;
    std::atomic<int> statuses = 0;
    EndpointMonitor<ManualClock> monitor(
        this->Settings("endpoint-1"),
        [&](const model::EndpointStatus&, kernel::Instant) { ++statuses; },
        [&](const EndpointError&) { ++failures; }, this->clock);
    CPPUNIT_ASSERT(WaitUntil([&] { return failures >= 2; }));
    CPPUNIT_ASSERT_EQUAL(0, statuses.load());
    this->server.SetStatusReply(Reply::kComplete);
    CPPUNIT_ASSERT(WaitUntil([&] { return statuses >= 2; }));
  }

  // Guards against routing by the status of another database that now uses the
  // address of the endpoint.
  void RefusesTheStatusOfAnotherEndpoint() {
    std::atomic<int> failures = 0;
    std::atomic<int> statuses = 0;
    EndpointMonitor<ManualClock> monitor(
        this->Settings("endpoint-2"),
        [&](const model::EndpointStatus&, kernel::Instant) { ++statuses; },
        [&](const EndpointError&) { ++failures; }, this->clock);
    CPPUNIT_ASSERT(WaitUntil([&] { return failures >= 1; }));
    monitor.Stop();
    CPPUNIT_ASSERT_EQUAL(0, statuses.load());
  }

  // Guards against a shutdown that waits for an unresponsive endpoint.
  void StopsDuringACall() {
    this->server.SetStatusReply(Reply::kSilent);
    std::atomic<int> calls = 0;
    EndpointMonitor<ManualClock> monitor(
        this->Settings("endpoint-1"),
        [&](const model::EndpointStatus&, kernel::Instant) { ++calls; },
        [&](const EndpointError&) { ++calls; }, this->clock);
    CPPUNIT_ASSERT(WaitUntil([&] { return this->server.StatusCalls() == 1; }));
    const auto start = std::chrono::steady_clock::now();
    monitor.Stop();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                   std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, calls.load());
  }

 private:
  MonitorSettings Settings(const std::string& endpoint) const {
    MonitorSettings settings;
    settings.endpoint = endpoint;
    settings.address = this->server.Address();
    settings.origin = Origin{"vm-1", "dc-1"};
    settings.retry_interval = std::chrono::milliseconds(20);
    return settings;
  }

  ManualClock clock;
  ScriptedServer server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointMonitorTest);

}  // namespace
}  // namespace laburnumkeel::endpoints
