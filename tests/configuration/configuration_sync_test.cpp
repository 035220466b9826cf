#include "laburnumkeel/configuration/configuration_sync.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/configuration/startup_rule.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::configuration {
namespace {

using Sync = ConfigurationSync<testing::ManualClock>;

class ConfigurationSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationSyncTest);
  CPPUNIT_TEST(FetchesFromPeerThenStore);
  CPPUNIT_TEST(IgnoresLowerVersions);
  CPPUNIT_TEST(OneVmOfADataCentrePollsOnceASecond);
  CPPUNIT_TEST(StartsWithStoreOrMajority);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a VM that never receives the new version because the peer
  // that announced it has stopped.
  void FetchesFromPeerThenStore() {
    this->sync.OnVersionAnnounced(5, "127.0.0.1:1", 4);
    this->clock.Advance(Sync::kMaximumDelay);
    CPPUNIT_ASSERT(this->sync.NextFetch(4) ==
                   (FetchPlan{FetchSource::kPeer, "127.0.0.1:1", 5}));
    this->clock.Advance(Sync::kMaximumDelay);
    CPPUNIT_ASSERT(this->sync.NextFetch(4) ==
                   (FetchPlan{FetchSource::kStore, "", 5}));
    CPPUNIT_ASSERT(!this->sync.NextFetch(5).has_value());
  }

  // Guards against fetches caused by a peer with an old version.
  void IgnoresLowerVersions() {
    this->sync.OnVersionAnnounced(4, "127.0.0.1:1", 4);
    this->clock.Advance(Sync::kMaximumDelay);
    CPPUNIT_ASSERT(!this->sync.NextFetch(4).has_value());
  }

  // Guards against a number of store reads that grows with the number of VMs.
  void OneVmOfADataCentrePollsOnceASecond() {
    Sync other(this->clock, "vm2", "dc1", 2);
    const bool first = this->sync.IsPollDue({"vm2"});
    CPPUNIT_ASSERT_EQUAL(!first, other.IsPollDue({"vm1"}));
    Sync& poller = first ? this->sync : other;
    CPPUNIT_ASSERT(!poller.IsPollDue({}));
    this->clock.Advance(Sync::kPollInterval);
    CPPUNIT_ASSERT(poller.IsPollDue({}));
  }

  // Guards against a restarted VM that serves with an old version.
  void StartsWithStoreOrMajority() {
    const std::vector<std::string> listed{"vm1", "vm2", "vm3"};
    StartupRule rule;
    CPPUNIT_ASSERT(!rule.IsReady(listed, 0));
    rule.OnPeerResponse("vm2", 3);
    rule.OnPeerResponse("vm2", 3);
    rule.OnPeerResponse("vm1", 0);
    CPPUNIT_ASSERT(!rule.IsReady(listed, 3));
    rule.OnPeerResponse("vm3", 4);
    CPPUNIT_ASSERT(!rule.IsReady(listed, 3));
    CPPUNIT_ASSERT(rule.IsReady(listed, 4));
    StartupRule with_store;
    with_store.OnStoreResponse(4);
    CPPUNIT_ASSERT(!with_store.IsReady(listed, 3));
    CPPUNIT_ASSERT(with_store.IsReady(listed, 4));
  }

 private:
  testing::ManualClock clock;
  Sync sync{this->clock, "vm1", "dc1", 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSyncTest);

}  // namespace
}  // namespace laburnumkeel::configuration
