#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "laburnumkeel/model/configuration_codec.h"
#include "laburnumkeel/transport/http_connection.h"
#include "tests/system/fleet_fixture.h"

namespace laburnumkeel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest times until all VMs reject a revoked key, and until a configuration
// change is in effect on all VMs.
constexpr seconds kRevocationBound{5};
constexpr seconds kConfigurationBound{18};
constexpr char kStatement[] = R"({"group":"g1","statement":"GET lot"})";

class AccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccessTest);
  CPPUNIT_TEST(KeysStayAtTheEntryPrograms);
  CPPUNIT_TEST(ARevokedKeyStopsOnAllVms);
  CPPUNIT_TEST(AVmThatStartsInAStoreOutageHasTheNewestVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against forwarding an API key to an endpoint or writing it to a log.
  void KeysStayAtTheEntryPrograms() {
    FleetFixture fixture(standin::PolishingLedger(26));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    for (int vm = 0; vm < standin::kVmCount; ++vm) {
      CPPUNIT_ASSERT_EQUAL(200,
                           fixture.Write(vm, "g1", "PUT lot shipped").status);
      CPPUNIT_ASSERT_EQUAL(200, fixture.Read(vm, "g1", "GET lot").status);
      // The key of a rejected request could be logged, too.
      fixture.Fleet().Call(vm, "read", fixture.Key(), "{", "");
      fixture.Fleet().Call(vm, "read", fixture.Key() + "x", kStatement, "");
    }
    std::size_t received_bytes = 0;
    for (int member = 0; member < standin::kDataCentreCount; ++member) {
      const auto received = fixture.Fleet().Send(
          standin::EndpointAddress(fixture.Fleet().GetDeployment(), 0, member,
                                   standin::kFaultsPort),
          transport::HttpRequest{"GET", "/received", {}, "", {}});
      CPPUNIT_ASSERT_EQUAL(200, received.status);
      received_bytes += received.body.size();
      CPPUNIT_ASSERT_EQUAL(std::string::npos,
                           received.body.find(fixture.Key()));
    }
    CPPUNIT_ASSERT(received_bytes > 0);
    const std::string logs = fixture.Logs();
    std::cout << "searched " << received_bytes
              << " bytes received by endpoints and " << logs.size()
              << " bytes of logs\n";
    CPPUNIT_ASSERT(!logs.empty());
    CPPUNIT_ASSERT_EQUAL(std::string::npos, logs.find(fixture.Key()));
  }

  // Guards against a VM that accepts a revoked key more than 5 s after the
  // revocation was accepted, including on persistent connections and on a VM
  // whose control program was paused.
  void ARevokedKeyStopsOnAllVms() {
    FleetFixture fixture(standin::PolishingLedger(27));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    std::vector<std::unique_ptr<transport::HttpConnection>> connections;
    for (int vm = 0; vm < standin::kVmCount; ++vm) {
      connections.push_back(std::make_unique<transport::HttpConnection>(
          std::move(transport::HttpConnection::Open(
                        standin::VmAddress(fixture.Fleet().GetDeployment(), vm,
                                           standin::kEntryPort),
                        transport::ConnectionLimits{})
                        .value())));
      CPPUNIT_ASSERT_EQUAL(200, ReadOn(*connections.back(), fixture));
    }
    fixture.Fleet().Vm(6).control.Pause();
    const std::string id = fixture.Key().substr(0, fixture.Key().find('.'));
    const auto revoked =
        fixture.Administer(0, "DELETE", "/v1/client_accounts/maan/keys/" + id);
    const auto accepted = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_MESSAGE(revoked.body,
                           revoked.status == 200 || revoked.status == 504);
    std::this_thread::sleep_until(accepted + kRevocationBound);
    for (int vm = 0; vm < standin::kVmCount; ++vm) {
      const int status =
          ReadOn(*connections[static_cast<std::size_t>(vm)], fixture);
      CPPUNIT_ASSERT_MESSAGE(
          standin::VmName(vm) + ": " + std::to_string(status),
          status == 401 || status == 503);
    }
    fixture.Fleet().Vm(6).control.Resume();
    CPPUNIT_ASSERT(Eventually(kConfigurationBound, [&] {
      return ReadOn(*connections[6], fixture) == 401;
    }));
  }

  // Guards against a VM that misses an accepted configuration version when it
  // is replaced while the store is down and can query only its peers.
  void AVmThatStartsInAStoreOutageHasTheNewestVersion() {
    FleetFixture fixture(standin::PolishingLedger(28));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    const auto changed = fixture.Administer(
        2, "PUT", "/v1/client_accounts/petra", R"({"rate":41,"burst":21})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(changed.body, 200, changed.status);
    CPPUNIT_ASSERT(Eventually(kConfigurationBound,
                              [&] { return AllHoldVersion(fixture, 2); }));
    CPPUNIT_ASSERT(fixture.Fleet().SetPlatformFault(R"({"mode":"down"})"));
    fixture.Fleet().Vm(4).entry.Kill();
    fixture.Fleet().Vm(4).control.Kill();
    fixture.Fleet().Vm(4).administration.Kill();
    fixture.Fleet().StartVm(4);
    CPPUNIT_ASSERT(Eventually(kConfigurationBound,
                              [&] { return AllHoldVersion(fixture, 2); }));
  }

 private:
  static int ReadOn(transport::HttpConnection& connection,
                    const FleetFixture& fixture) {
    const auto response = connection.Exchange(
        transport::HttpRequest{"POST",
                               "/v1/services/ledger/read",
                               {{"Authorization", "Bearer " + fixture.Key()}},
                               kStatement,
                               {}},
        seconds(10));
    return response.has_value() ? response.value().status : 0;
  }

  static bool AllHoldVersion(FleetFixture& fixture, std::uint64_t version) {
    for (int vm = 0; vm < standin::kVmCount; ++vm) {
      const auto current = fixture.Administer(vm, "GET", "/v1/configuration");
      const auto decoded = model::DecodeConfiguration(current.body);
      if (!decoded.has_value() || decoded.value().version < version) {
        return false;
      }
      CPPUNIT_ASSERT_EQUAL(version, decoded.value().version);
    }
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessTest);

}  // namespace
}  // namespace laburnumkeel::testing
