#include "programs/laburnumkeel-entry/access_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/configuration/key_hash.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKey[] = "k1.0123456789abcdef";

class AccessGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccessGateTest);
  CPPUNIT_TEST(ServesWhileTheProofIsFresh);
  CPPUNIT_TEST(RefusesWhenTheControlProgramIsSilent);
  CPPUNIT_TEST(ServesInIsolationForTheServicesTime);
  CPPUNIT_TEST(RefusesOtherServicesAndKeys);
  CPPUNIT_TEST(ARevokedKeyStopsWithTheNextConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->SetKeys(0, true); }

  // Guards against a revoked key that works for more than 5 s: the newest
  // proof was made at most 4.5 s before the last request that is served.
  void ServesWhileTheProofIsFresh() {
    this->Report(milliseconds(1000), false, seconds(0));
    this->clock.Advance(milliseconds(3500));
    CPPUNIT_ASSERT(this->gate.Authorize(kKey, "ledger").has_value());
    this->clock.Advance(milliseconds(1));
    const auto refused = this->gate.Authorize(kKey, "ledger");
    CPPUNIT_ASSERT(!refused.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("key_state_unknown"),
                         refused.error().code);
    CPPUNIT_ASSERT(refused.error().outcome == model::Outcome::kNotRun);
  }

  // Guards against a permission to serve in a store outage that outlives the
  // control program that gave it.
  void RefusesWhenTheControlProgramIsSilent() {
    this->Report(std::nullopt, true, seconds(0));
    CPPUNIT_ASSERT(this->gate.Authorize(kKey, "ledger").has_value());
    this->clock.Advance(milliseconds(501));
    CPPUNIT_ASSERT(!this->gate.Authorize(kKey, "ledger").has_value());
  }

  // Guards against an operator's choice that has no effect or no end.
  void ServesInIsolationForTheServicesTime() {
    this->SetKeys(60, true);
    this->Report(std::nullopt, false, seconds(50));
    CPPUNIT_ASSERT(this->gate.Authorize(kKey, "ledger").has_value());
    this->clock.Advance(milliseconds(10001));
    CPPUNIT_ASSERT(!this->gate.Authorize(kKey, "ledger").has_value());
  }

  // Guards against a key that opens another account's service.
  void RefusesOtherServicesAndKeys() {
    this->Report(seconds(0), false, seconds(0));
    CPPUNIT_ASSERT_EQUAL(std::string("service_not_allowed"),
                         this->gate.Authorize(kKey, "bookings").error().code);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                         this->gate.Authorize("k1.x", "ledger").error().code);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                         this->gate.Authorize("", "ledger").error().code);
  }

  // Guards against a queued request or an open transaction that goes on with a
  // revoked key.
  void ARevokedKeyStopsWithTheNextConfiguration() {
    this->Report(seconds(0), false, seconds(0));
    CPPUNIT_ASSERT(this->gate.IsStillAuthorized(kKey, "ledger", "maan"));
    CPPUNIT_ASSERT(!this->gate.IsStillAuthorized(kKey, "ledger", "zarqa"));
    this->SetKeys(0, false);
    CPPUNIT_ASSERT(!this->gate.IsStillAuthorized(kKey, "ledger", "maan"));
  }

 private:
  void SetKeys(std::int64_t isolated_s, bool has_key) {
    model::Configuration configuration;
    configuration.version = ++this->version;
    configuration.services = {model::Service{"ledger", {}, isolated_s},
                              model::Service{"bookings", {}, 0}};
    model::ClientAccount account{"maan", "ledger", 10, 5, {}};
    if (has_key) {
      account.keys.push_back(configuration::HashKey(kKey));
    }
    configuration.client_accounts = {account};
    this->gate.SetConfiguration(
        std::make_shared<const model::Configuration>(configuration));
  }

  void Report(std::optional<kernel::Duration> proof_age, bool may_serve,
              kernel::Duration isolated) {
    this->gate.SetReport(
        FreshnessReport{this->clock.Now(), proof_age, may_serve, isolated});
  }

  std::uint64_t version = 0;
  testing::ManualClock clock;
  AccessGate<testing::ManualClock> gate{clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessGateTest);

}  // namespace
}  // namespace laburnumkeel::entry
