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
  CPPUNIT_TEST(ServesWhileTheFreshnessProofIsValid);
  CPPUNIT_TEST(RefusesWhenTheReportIsTooOld);
  CPPUNIT_TEST(ServesInIsolationUpToTheServiceLimit);
  CPPUNIT_TEST(RefusesOtherServicesAndKeys);
  CPPUNIT_TEST(RevokedKeyIsRefusedWithTheNextConfiguration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->SetKeys(0, true); }

  // Guards against a revoked key that is accepted for more than 5 s: the latest
  // freshness proof is at most 4.5 s old when a request is authorized.
  void ServesWhileTheFreshnessProofIsValid() {
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

  // Guards against a permission to serve during a store outage that stays valid
  // after the control program that granted it has stopped.
  void RefusesWhenTheReportIsTooOld() {
    this->Report(std::nullopt, true, seconds(0));
    CPPUNIT_ASSERT(this->gate.Authorize(kKey, "ledger").has_value());
    this->clock.Advance(milliseconds(501));
    CPPUNIT_ASSERT(!this->gate.Authorize(kKey, "ledger").has_value());
  }

  // Guards against an `isolated_serving_seconds` setting that has no effect, or
  // that allows requests for longer than the operator set.
  void ServesInIsolationUpToTheServiceLimit() {
    this->SetKeys(60, true);
    this->Report(std::nullopt, false, seconds(50));
    CPPUNIT_ASSERT(this->gate.Authorize(kKey, "ledger").has_value());
    this->clock.Advance(milliseconds(10001));
    CPPUNIT_ASSERT(!this->gate.Authorize(kKey, "ledger").has_value());
  }

  // Guards against a key that gives access to another account's service.
  void RefusesOtherServicesAndKeys() {
    this->Report(seconds(0), false, seconds(0));
    CPPUNIT_ASSERT_EQUAL(std::string("service_not_allowed"),
                         this->gate.Authorize(kKey, "bookings").error().code);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                         this->gate.Authorize("k1.x", "ledger").error().code);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_key"),
                         this->gate.Authorize("", "ledger").error().code);
  }

  // Guards against a queued request or an open transaction that continues with
  // a revoked key.
  void RevokedKeyIsRefusedWithTheNextConfiguration() {
    this->Report(seconds(0), false, seconds(0));
    CPPUNIT_ASSERT(this->gate.IsStillAuthorized(kKey, "ledger", "maan"));
    CPPUNIT_ASSERT(!this->gate.IsStillAuthorized(kKey, "ledger", "zarqa"));
    this->SetKeys(0, false);
    CPPUNIT_ASSERT(!this->gate.IsStillAuthorized(kKey, "ledger", "maan"));
  }

 private:
  void SetKeys(std::int64_t isolated_serving_s, bool has_key) {
    model::Configuration configuration;
    configuration.version = ++this->version;
    configuration.services = {model::Service{"ledger", {}, isolated_serving_s},
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
              kernel::Duration isolated_time) {
    this->gate.SetReport(FreshnessReport{this->clock.Now(), proof_age,
                                         may_serve, isolated_time});
  }

  std::uint64_t version = 0;
  testing::ManualClock clock;
  AccessGate<testing::ManualClock> gate{clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessGateTest);

}  // namespace
}  // namespace laburnumkeel::entry
