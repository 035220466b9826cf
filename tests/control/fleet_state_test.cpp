#include "programs/laburnumkeel-control/fleet_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::control {
namespace {

class FleetStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStateTest);
  CPPUNIT_TEST(CallsAnUnlistedVmThatCalled);
  CPPUNIT_TEST(AStartingVmReportsNoVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a VM that stays isolated although others call it: a VM that
  // started before the platform's list could be read called no peer for 10 s,
  // and a store outage then left it without contact permanently.
  void CallsAnUnlistedVmThatCalled() {
    CPPUNIT_ASSERT(this->state.Peers().empty());
    this->state.OnPeerExchange(Caller("vm2"));
    this->state.OnPeerExchange(Caller("vm1"));
    const auto peers = this->state.Peers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:7000"),
                         peers.front().control_address);
  }

  // Guards against a starting VM whose outdated version counts as the response
  // of a VM that is up to date.
  void AStartingVmReportsNoVersion() {
    model::Configuration configuration;
    configuration.version = 3;
    this->state.Adopt(configuration, "test");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         this->state.OwnState().configuration_version);
  }

 private:
  static ControlSettings Settings() {
    ControlSettings settings;
    settings.vm = "vm1";
    settings.data_centre = "dc1";
    return settings;
  }

  static peer::generated::PeerState Caller(const std::string& vm) {
    peer::generated::PeerState caller;
    caller.vm = vm;
    caller.data_centre = "dc2";
    caller.control_address = "127.0.0.2:7000";
    return caller;
  }

  FleetState state{Settings()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateTest);

}  // namespace
}  // namespace laburnumkeel::control
