#include "programs/laburnumkeel-proxy/failover_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/fake_database.h"
#include "tests/support/fake_store.h"

namespace laburnumkeel::proxy {
namespace {

using std::chrono::milliseconds;
using testing::FakeDatabase;
using testing::FakeStore;

// A VM that may lead a fleet with one service: the store, a primary `p` and two
// replicas on loopback, and a paused clock.
class FailoverManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverManagerTest);
  CPPUNIT_TEST(AcquiresAndPublishesThePrimary);
  CPPUNIT_TEST(ReleasedLeaseEndsBeforeTheStoreHasAnswered);
  CPPUNIT_TEST(ReleaseWaitsForARenewalUnderWay);
  CPPUNIT_TEST(ReplyAfterTheLeaseExpiredGivesNoOrders);
  CPPUNIT_TEST(ReleaseEndsTheChangeUnderWay);
  CPPUNIT_TEST(SmallerVmLetsLargerOnesAcquireFirst);
  CPPUNIT_TEST(LeaderRenewsItsLeaseInARestoredStore);
  CPPUNIT_TEST(HolderRenewsAtOnceInARestoredStore);
  CPPUNIT_TEST(PrimaryIsPublishedAgainInARestoredStore);
  CPPUNIT_TEST(RestoredPrimaryDoesNotReplaceItsSuccessor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    platform_adapter::ProxySettings settings;
    settings.vm = "vm";
    settings.data_centre = "dc";
    settings.region = "region";
    settings.regions = {{"dc", "region"}};
    settings.processor_share = 0.25;
    this->context = std::make_unique<ProxyContext>(settings);
    this->context->clock.Pause();
    this->store = std::make_unique<FakeStore>(this->context->loop);
    this->context->settings.store_address = this->store->Address();
    // Nobody listens there: promotion calls fail.
    this->context->settings.promotion_address = testing::FreeAddress();
    auto configuration = std::make_shared<model::ProxyConfiguration>();
    configuration->services["s"] = {"s", 20, 0};
    this->context->configuration = configuration;
    this->pool = std::make_unique<ServicePool>(*this->context, "s");
    this->link = std::make_unique<StoreLink>(
        *this->context,
        StoreLink::Observers{
            [this] { this->pool->OnDirectoryChanged(); },
            [this](const promotion::LeaderRecord* record, std::uint64_t version,
                   std::int64_t store_now_ms) {
              this->manager->OnLeaderRow(record, version, store_now_ms);
            }});
    this->manager = std::make_unique<FailoverManager>(
        *this->context, *this->link,
        [this](const std::string&) -> ServicePool& { return *this->pool; },
        [] {}, [this] { ++this->releases; });
    for (const char* id : {"p", "q", "r"}) {
      this->AddEndpoint(id);
    }
    this->manager->SetHandoverSource(
        [] { return FailoverManager::Handover(); });
  }

  void tearDown() override {
    this->manager.reset();
    this->link.reset();
    this->pool.reset();
    for (auto& database : this->databases) {
      database.reset();
    }
    this->store.reset();
    this->context.reset();
  }

  void AcquiresAndPublishesThePrimary() {
    this->BecomeLeader();
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), this->PublishedHolder());
    const auto* primary = this->context->primaries.Find("s");
    CPPUNIT_ASSERT(primary != nullptr && primary->endpoint_id == "p");
  }

  // Guards against two leaders around a planned stop: another VM may read the
  // release before the store's answer reaches this one.
  void ReleasedLeaseEndsBeforeTheStoreHasAnswered() {
    this->BecomeLeader();
    this->manager->Release();
    CPPUNIT_ASSERT(!this->manager->IsLeader());
    this->Poll();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->PublishedHolder());
    CPPUNIT_ASSERT_EQUAL(1, this->releases);
  }

  // Guards against a release that fails because a renewal changes the row
  // first, after which all other VMs wait until the lease has expired.
  void ReleaseWaitsForARenewalUnderWay() {
    this->BecomeLeader();
    this->context->clock.Advance(promotion::LeaderLease::kRenewalPeriod);
    const int writes = this->store->Writes();
    this->manager->Tick(this->context->clock.Now());
    this->manager->Release();
    this->Poll();
    CPPUNIT_ASSERT(this->store->Writes() > writes);
    CPPUNIT_ASSERT_EQUAL(std::string(), this->PublishedHolder());
    CPPUNIT_ASSERT(!this->manager->IsLeader());
  }

  // Load pattern: the leader is suspended while it changes a primary, and wakes
  // up with replies to its questions. Guards against orders to endpoints beside
  // those of the next leader.
  void ReplyAfterTheLeaseExpiredGivesNoOrders() {
    this->BeginPlannedChange();
    this->AskMembers();
    this->context->clock.Advance(promotion::LeaderLease::kLifetime);
    this->AssertNoFurtherOrders();
  }

  void ReleaseEndsTheChangeUnderWay() {
    this->BeginPlannedChange();
    this->AskMembers();
    this->manager->Release();
    this->AssertNoFurtherOrders();
  }

  // Load pattern: 195 VMs, most of which may use a quarter of what the largest
  // may. Guards against a leader that cannot answer the reports of all others.
  void SmallerVmLetsLargerOnesAcquireFirst() {
    this->store->Put("laburnumkeel", "vm/large",
                     {{"address", "127.0.0.1:1"}, {"processor_share", 0.5}});
    this->ReadFleet();
    this->Step();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->PublishedHolder());
    for (int step = 0; step < 15; ++step) {
      this->ReadFleet();
      this->Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), this->PublishedHolder());
  }

  // Guards against a fleet without a leader, whose renewals expect a version
  // that the store no longer has. The copy is older than the lease.
  void LeaderRenewsItsLeaseInARestoredStore() {
    const std::uint64_t copied_version = this->store->Version();
    this->BecomeLeader();
    this->store->Restore(copied_version);
    for (int step = 0; step < 60; ++step) {
      this->ReadFleet();
      this->Step();
      CPPUNIT_ASSERT(this->manager->IsLeader());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), this->PublishedHolder());
  }

  // Load pattern: all VMs lose power right after a restore. Guards against a
  // holder that does not know its own record and waits like any other VM.
  void HolderRenewsAtOnceInARestoredStore() {
    this->BecomeLeader();
    const auto published = [this] {
      return *DecodeLeader(this->store->Value(std::string(kFleetTable),
                                              std::string(kLeaderKey)));
    };
    const auto before = published();
    for (int step = 0; step < 20 && published() == before; ++step) {
      this->Step();
    }
    CPPUNIT_ASSERT(!(published() == before));
    // The next renewal is due a whole period later.
    const std::uint64_t era = published().store_era;
    this->store->Restore(this->store->Version());
    this->ReadFleet();
    this->ReadFleet();
    this->Step();
    this->Step();
    CPPUNIT_ASSERT_EQUAL(era + 1, published().store_era);
  }

  // Guards against VMs that start later and find no primary.
  void PrimaryIsPublishedAgainInARestoredStore() {
    const std::uint64_t copied_version = this->store->Version();
    this->BecomeLeader();
    CPPUNIT_ASSERT_EQUAL(std::string("p"), this->PublishedPrimary());
    this->store->Restore(copied_version);
    for (int step = 0; step < 30; ++step) {
      this->ReadFleet();
      this->Step();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("p"), this->PublishedPrimary());
  }

  // Guards against statements to a primary that was replaced in the seconds
  // which the copy lacks.
  void RestoredPrimaryDoesNotReplaceItsSuccessor() {
    this->BecomeLeader();
    const std::uint64_t copied_version = this->store->Version();
    this->store->Put(std::string(kFleetTable), "primary/s",
                     {{"endpoint", "q"}, {"term", 7}, {"changing", false}});
    for (int step = 0; step < 30; ++step) {
      this->ReadFleet();
    }
    const auto* primary = this->context->primaries.Find("s");
    CPPUNIT_ASSERT_EQUAL(std::string("q"), primary->endpoint_id);
    this->store->Restore(copied_version);
    this->store->Put("status", "row", 1);
    for (int step = 0; step < 3; ++step) {
      this->ReadFleet();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("q"), primary->endpoint_id);
  }

 private:
  static constexpr const char* kIds = "pqr";

  void AddEndpoint(const std::string& id) {
    auto& database = this->databases[std::string(kIds).find(id)];
    database = std::make_unique<FakeDatabase>(this->context->loop);
    database->SetScript([this, id](std::string_view line) -> std::string {
      const bool is_order = line.find("PAUSE") != std::string_view::npos ||
                            line.find("STEPDOWN") != std::string_view::npos;
      this->is_paused[id] |= is_order && !this->do_orders_fail;
      const bool is_primary = id == "p" && !this->is_paused[id];
      return "DATAROW " + std::string(is_primary ? "primary" : "replica") +
             " 1 1.5 " + (this->is_paused[id] ? "2" : "0") +
             " 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n";
    });
    this->PutEndpoint(id, "ready");
  }

  void PutEndpoint(const std::string& id, const std::string& state) {
    const auto& database = this->databases[std::string(kIds).find(id)];
    this->store->Put("servers", id,
                     {{"service", "s"},
                      {"address", database->Address()},
                      {"zone", "dc"},
                      {"slots", 3},
                      {"state", state},
                      {"database_role", id == "p" ? "primary" : "replica"}});
  }

  void Poll() {
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(10));
  }

  void ReadFleet() {
    this->link->ReadFleetSoon();
    this->link->Tick(this->context->clock.Now(), false);
    this->Poll();
  }

  void Step() {
    this->manager->Tick(this->context->clock.Now());
    this->Poll();
    this->context->clock.Advance(milliseconds(100));
  }

  void BecomeLeader() {
    for (int step = 0; step < 20; ++step) {
      this->ReadFleet();
      this->Step();
    }
    CPPUNIT_ASSERT(this->manager->IsLeader());
  }

  // The primary is draining; both replicas are paused or about to be.
  void BeginPlannedChange() {
    this->BecomeLeader();
    this->PutEndpoint("p", "draining");
    for (int step = 0; step < 40 && this->Orders() == 0; ++step) {
      this->ReadFleet();
      this->Step();
    }
    CPPUNIT_ASSERT(this->context->primaries.Find("s")->is_changing);
    CPPUNIT_ASSERT(this->Orders() > 0);
    // Whatever the endpoints answer from now on calls for another order.
    this->do_orders_fail = true;
    this->is_paused.clear();
  }

  // At most the orders that had left before may still arrive, one for each
  // endpoint.
  void AssertNoFurtherOrders() {
    const int orders = this->Orders();
    for (int poll = 0; poll < 20; ++poll) {
      this->Poll();
    }
    CPPUNIT_ASSERT(this->Orders() - orders <= 3);
  }

  // Sends questions to the endpoints without reading their replies.
  void AskMembers() {
    this->context->clock.Advance(milliseconds(750));
    this->manager->Tick(this->context->clock.Now());
  }

  int Orders() const {
    int orders = 0;
    for (const auto& database : this->databases) {
      orders += database->Count("PAUSE") + database->Count("STEPDOWN") +
                database->Count("RESUME");
    }
    return orders;
  }

  std::string PublishedHolder() {
    const auto record = DecodeLeader(
        this->store->Value(std::string(kFleetTable), std::string(kLeaderKey)));
    return record ? record->holder : "";
  }

  std::string PublishedPrimary() {
    const auto record = DecodePrimary(
        "s", 1, this->store->Value(std::string(kFleetTable), "primary/s"));
    return record ? record->endpoint_id : "";
  }

  std::unique_ptr<ProxyContext> context;
  std::unique_ptr<FakeStore> store;
  std::array<std::unique_ptr<FakeDatabase>, 3> databases;
  std::map<std::string, bool> is_paused;
  bool do_orders_fail = false;
  std::unique_ptr<ServicePool> pool;
  std::unique_ptr<StoreLink> link;
  std::unique_ptr<FailoverManager> manager;
  int releases = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverManagerTest);

}  // namespace
}  // namespace laburnumkeel::proxy
