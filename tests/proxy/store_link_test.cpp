#include "programs/laburnumkeel-proxy/store_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "laburnumkeel/model/store_version.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "tests/support/endpoint_entry.h"
#include "tests/support/fake_store.h"
#include "tests/support/narrow_link.h"

namespace laburnumkeel::proxy {
namespace {

using kernel::Instant;
using std::chrono::milliseconds;
using testing::FakeStore;

// The store on a loopback connection, and a paused clock.
class StoreLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreLinkTest);
  CPPUNIT_TEST(DepartureIsCountedFromTheLastReadWithoutIt);
  CPPUNIT_TEST(DepartureIsCountedFromTheLeadersReadWithoutIt);
  CPPUNIT_TEST(LeadersReadOfANewerTableDoesNotCount);
  CPPUNIT_TEST(DepartureMissedWhileTheStoreRefusesGetsTheSettleTime);
  CPPUNIT_TEST(ReturnedEndpointIsNoLongerLeaving);
  CPPUNIT_TEST(RowMissingAfterDroppedHistoryIsReportedToOtherVms);
  CPPUNIT_TEST(EvacuationMissingAfterDroppedHistoryEnds);
  CPPUNIT_TEST(ChangeBetweenThePagesOfAFullReadIsRead);
  CPPUNIT_TEST(ChangeOnTheFirstPageOfAFullReadIsReported);
  CPPUNIT_TEST(OnlyTheConfigurationIsAwaitedAtFirst);
  CPPUNIT_TEST(WriteFromAHandlerIsSentOnce);
  CPPUNIT_TEST(FleetOnSeveralPagesIsReadInFull);
  CPPUNIT_TEST(VmThatReturnsAtAnotherAddressRegistersIt);
  CPPUNIT_TEST(ChangesMissedDuringARefusalAreReadOverANarrowLink);
  CPPUNIT_TEST(LargeConfigurationIsReadOverACrowdedLink);
  CPPUNIT_TEST(ChangeBelowTheKnownVersionIsReadAfterARestore);
  CPPUNIT_TEST(ChangeAfterARestoreIsReportedToOtherVms);
  CPPUNIT_TEST(WriteThatExpectsALostVersionConflicts);
  CPPUNIT_TEST(FirstReadingOfAnEraIsReportedToOtherVms);
  CPPUNIT_TEST(FleetPagesOfTwoErasAreNotCombined);
  CPPUNIT_TEST(VmRegistersAgainInARestoredStore);
  CPPUNIT_TEST(DepartureThatTheCopyLacksGoesOn);
  CPPUNIT_TEST(ChangesUnderWayAreNotTakenForAllRows);
  CPPUNIT_TEST(EndpointThatTheCopyLacksStaysInUse);
  CPPUNIT_TEST(EvacuationThatTheCopyLacksGoesOn);
  CPPUNIT_TEST(OddEntriesHideNoOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->context =
        std::make_unique<ProxyContext>(platform_adapter::ProxySettings());
    this->store = std::make_unique<FakeStore>(this->context->loop);
    this->context->settings.store_address = this->store->Address();
    this->context->clock.Pause();
    this->context->configuration =
        std::make_shared<const model::ProxyConfiguration>();
    this->link = std::make_unique<StoreLink>(
        *this->context,
        StoreLink::Observers{[this] { ++this->changes; },
                             [this](const auto* record, auto, auto) {
                               this->has_leader = record != nullptr;
                             }});
    this->PutEndpoint("a", "ready");
    this->PutEndpoint("b", "ready");
    this->Read();
  }

  void tearDown() override {
    this->link.reset();
    this->store.reset();
    this->context.reset();
  }

  void DepartureIsCountedFromTheLastReadWithoutIt() {
    const Instant read = this->Now();
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a") == read + kDrainBound);
    CPPUNIT_ASSERT(!this->Deadline("b").has_value());
  }

  void DepartureIsCountedFromTheLeadersReadWithoutIt() {
    this->context->clock.Advance(milliseconds(1500));
    const Instant read = this->Now();
    this->link->OnPeerTableState({0, read}, {model::StoreVersion(1, 1), read});
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a") == read + kDrainBound);
  }

  // Guards against trusting a reading that contains a departure which this VM
  // has not read yet.
  void LeadersReadOfANewerTableDoesNotCount() {
    const Instant read = this->Now();
    this->PutEndpoint("a", "draining");
    this->context->clock.Advance(milliseconds(500));
    this->link->OnPeerTableState({0, this->Now()},
                                 {model::StoreVersion(1, 3), this->Now()});
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a") == read + kDrainBound);
  }

  void DepartureMissedWhileTheStoreRefusesGetsTheSettleTime() {
    this->PutEndpoint("a", "draining");
    this->store->Refuse(503);
    this->context->clock.Advance(milliseconds(9000));
    const Instant refused = this->Now();
    this->Read();
    this->store->Refuse(std::nullopt);
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a") == refused + kSettleTime);
  }

  void ReturnedEndpointIsNoLongerLeaving() {
    this->store->Remove("servers", "a");
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a").has_value());
    this->PutEndpoint("a", "ready");
    this->ReadLater();
    CPPUNIT_ASSERT(!this->Deadline("a").has_value());
  }

  // Guards against a departure that only the leader learns of: other VMs read
  // the table when the leader reports a newer version.
  void RowMissingAfterDroppedHistoryIsReportedToOtherVms() {
    const std::uint64_t version = this->link->EndpointRows().version;
    const int changes_before = this->changes;
    this->store->Remove("servers", "a");
    this->store->DropHistory();
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a").has_value());
    CPPUNIT_ASSERT(this->link->EndpointRows().version > version);
    CPPUNIT_ASSERT(this->changes > changes_before);
  }

  void EvacuationMissingAfterDroppedHistoryEnds() {
    this->store->Put("op", "evacuate/dc", 1);
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->evacuations.Contains("dc"));
    const std::uint64_t version = this->link->OperatorRows().version;
    const int changes_before = this->changes;
    this->store->Remove("op", "evacuate/dc");
    this->store->DropHistory();
    this->ReadLater();
    CPPUNIT_ASSERT(!this->context->evacuations.Contains("dc"));
    CPPUNIT_ASSERT(this->link->OperatorRows().version > version);
    CPPUNIT_ASSERT(this->changes > changes_before);
  }

  // Guards against taking the version of the last page for that of the first.
  void ChangeBetweenThePagesOfAFullReadIsRead() {
    this->store->DropHistory();
    this->store->SetPageSize(1);
    const int calls = this->store->Calls("servers");
    this->context->clock.Advance(kReadInterval);
    this->link->Tick(this->Now(), true);
    // The history is gone, then the first page is read.
    while (this->store->Calls("servers") < calls + 2) {
      this->context->loop.restart();
      this->context->loop.run_one_for(milliseconds(20));
    }
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->endpoints.at("a").is_draining);
  }

  // Guards against pools that are not told of a departure.
  void ChangeOnTheFirstPageOfAFullReadIsReported() {
    this->PutEndpoint("a", "draining");
    this->store->DropHistory();
    this->store->SetPageSize(1);
    const int changes_before = this->changes;
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->endpoints.at("a").is_draining);
    CPPUNIT_ASSERT(this->changes > changes_before);
  }

  // Load pattern: all VMs of a large fleet start seconds before the operators
  // publish the first configuration. Guards against calls for tables that are
  // of no use until then.
  void OnlyTheConfigurationIsAwaitedAtFirst() {
    ProxyContext starting{platform_adapter::ProxySettings()};
    FakeStore empty(starting.loop);
    starting.settings.store_address = empty.Address();
    starting.clock.Pause();
    StoreLink waiting(starting, {[] {}, [](const auto*, auto, auto) {}});
    const auto read = [&] {
      for (int step = 0; step < 8; ++step) {
        waiting.Tick(starting.clock.Now(), false);
        starting.loop.restart();
        starting.loop.run_for(milliseconds(5));
        starting.clock.Advance(milliseconds(500));
      }
    };
    read();
    CPPUNIT_ASSERT(empty.Calls("op") > 0);
    CPPUNIT_ASSERT_EQUAL(0, empty.Calls("servers"));
    CPPUNIT_ASSERT_EQUAL(0, empty.Calls("laburnumkeel"));
    empty.Put("op", "config", {{"version", 1}});
    read();
    CPPUNIT_ASSERT(empty.Calls("servers") > 0);
    CPPUNIT_ASSERT(empty.Calls("laburnumkeel") > 0);
  }

  // Guards against two calls at a time on one connection, the second of which
  // ends the process: a handler may write the next row.
  void WriteFromAHandlerIsSentOnce() {
    const int writes = this->store->Writes();
    int handled = 0;
    const auto write = [&](const std::string& key, auto handler) {
      this->link->Write(
          [key] {
            return StoreLink::Transaction{{}, {{"laburnumkeel", key, "1"}}};
          },
          handler);
    };
    write("first", [&](const StoreLink::WriteOutcome&) {
      ++handled;
      write("second", [&](const StoreLink::WriteOutcome&) { ++handled; });
    });
    this->ReadFleet();
    CPPUNIT_ASSERT_EQUAL(2, handled);
    CPPUNIT_ASSERT_EQUAL(writes + 2, this->store->Writes());
  }

  // Load pattern: a fleet of more VMs than the store returns in one response.
  // Guards against limits and connections that are divided among a part of the
  // VMs, each of which gets too much.
  void FleetOnSeveralPagesIsReadInFull() {
    this->store->Put("laburnumkeel", "duty",
                     {{"holder", "vm-0"}, {"address", ""}, {"token", 1}});
    for (int vm = 0; vm < 1400; ++vm) {
      this->store->Put("laburnumkeel", "vm/vm-" + std::to_string(vm),
                       {{"address", "127.0.0.1:1"}, {"processor_share", 0.1}});
    }
    // The VM of this test registers as well.
    this->ReadFleet();
    this->ReadFleet();
    CPPUNIT_ASSERT_EQUAL(1401, this->context->vm_count);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1401}, this->link->Vms().size());
    CPPUNIT_ASSERT(this->has_leader);
  }

  // Guards against messages that go to the address of a removed VM whose name
  // is used again.
  void VmThatReturnsAtAnotherAddressRegistersIt() {
    this->store->Put("laburnumkeel", "vm/",
                     {{"address", "127.0.0.9:9"}, {"processor_share", 1}});
    this->ReadFleet();
    this->ReadFleet();
    const auto own = this->link->Vms().find("");
    CPPUNIT_ASSERT(own != this->link->Vms().end());
    CPPUNIT_ASSERT_EQUAL(this->context->settings.PeerAddress(),
                         own->second.address);
  }

  // Load pattern: 20 configurations while the store refuses the VM, whose link
  // carries two of them within the time limit of a call. Guards against reads
  // that fail, and grow with each failure, until the history is dropped.
  void ChangesMissedDuringARefusalAreReadOverANarrowLink() {
    constexpr std::size_t kConfigurationBytes = 15000;
    constexpr std::size_t kLinkBytes = 50000;
    constexpr int kNewest = 20;
    constexpr int kAttempts = 4;
    ProxyContext remote{platform_adapter::ProxySettings()};
    FakeStore remote_store(remote.loop);
    testing::NarrowLink narrow(remote.loop, remote_store.Address(), kLinkBytes);
    remote.settings.store_address = narrow.Address();
    remote.clock.Pause();
    StoreLink reader(remote, {[] {}, [](const auto*, auto, auto) {}});
    const auto put = [&](int version) {
      remote_store.Put("op", "config",
                       {{"version", version},
                        {"comment", std::string(kConfigurationBytes, '.')}});
    };
    const auto read = [&] {
      reader.Tick(remote.clock.Now(), false);
      remote.loop.restart();
      // Longer than the time limit of a call.
      remote.loop.run_for(milliseconds(800));
      remote.clock.Advance(kReadInterval);
    };
    put(1);
    read();
    CPPUNIT_ASSERT(remote.configuration != nullptr);
    remote_store.Refuse(429);
    read();
    for (int version = 2; version <= kNewest; ++version) {
      put(version);
    }
    remote_store.Refuse(std::nullopt);
    for (int attempt = 0;
         attempt < kAttempts && remote.configuration->version < kNewest;
         ++attempt) {
      read();
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{kNewest}, remote.configuration->version);
  }

  // Guards against a configuration that is never read because each attempt is
  // given up while the response still arrives.
  void LargeConfigurationIsReadOverACrowdedLink() {
    constexpr std::size_t kConfigurationBytes = 200000;
    ProxyContext remote{platform_adapter::ProxySettings()};
    FakeStore remote_store(remote.loop);
    // At this rate the response takes 1.1 s.
    testing::NarrowLink crowded(remote.loop, remote_store.Address(),
                                std::numeric_limits<std::size_t>::max(),
                                milliseconds(60));
    remote.settings.store_address = crowded.Address();
    remote.clock.Pause();
    StoreLink reader(remote, {[] {}, [](const auto*, auto, auto) {}});
    remote_store.Put(
        "op", "config",
        {{"version", 1}, {"comment", std::string(kConfigurationBytes, '.')}});
    for (int attempt = 0; attempt < 3 && !remote.configuration; ++attempt) {
      reader.Tick(remote.clock.Now(), false);
      remote.loop.restart();
      remote.loop.run_for(milliseconds(1500));
      remote.clock.Advance(kReadInterval);
    }
    CPPUNIT_ASSERT(remote.configuration != nullptr);
  }

  // Guards against changes that are skipped because the restored store gives
  // out their versions a second time.
  void ChangeBelowTheKnownVersionIsReadAfterARestore() {
    const std::uint64_t copied_version = this->store->Version();
    this->PutUnrelatedRows(10);
    this->ReadLater();
    this->store->Restore(copied_version);
    this->PutEndpoint("a", "draining");
    this->PutUnrelatedRows(20);
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->endpoints.at("a").is_draining);
  }

  // Guards against a change that only the leader learns of, as the versions of
  // the restored store are below those that it has reported.
  void ChangeAfterARestoreIsReportedToOtherVms() {
    const std::uint64_t copied_version = this->store->Version();
    this->PutUnrelatedRows(10);
    this->PutEndpoint("b", "draining");
    this->ReadLater();
    const std::uint64_t reported = this->link->EndpointRows().version;
    this->store->Restore(copied_version);
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    CPPUNIT_ASSERT(this->link->EndpointRows().version > reported);
  }

  // Guards against a write over another row than the expected one, after the
  // restored store has given out its version again.
  void WriteThatExpectsALostVersionConflicts() {
    StoreLink::WriteOutcome lost;
    const auto write = [&](std::uint64_t expected_version) {
      this->link->Write(
          [expected_version] {
            return StoreLink::Transaction{
                {{"laburnumkeel", "row", expected_version}},
                {{"laburnumkeel", "row", "1"}}};
          },
          [&](const StoreLink::WriteOutcome& outcome) { lost = outcome; });
      this->ReadFleet();
    };
    const std::uint64_t copied_version = this->store->Version();
    write(0);
    CPPUNIT_ASSERT(lost.kind == StoreLink::WriteOutcome::Kind::kDone);
    const std::uint64_t lost_version = lost.version;
    this->store->Restore(copied_version);
    this->store->Put("laburnumkeel", "row", "of another VM");
    this->ReadLater();
    write(lost_version);
    CPPUNIT_ASSERT(lost.kind == StoreLink::WriteOutcome::Kind::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("\"of another VM\""),
                         this->store->Value("laburnumkeel", "row"));
  }

  // Guards against VMs that do not read a restored store, because the rows are
  // the ones that the leader already had.
  void FirstReadingOfAnEraIsReportedToOtherVms() {
    const std::uint64_t reported = this->link->EndpointRows().version;
    this->store->Restore(this->store->Version());
    this->ReadLater();
    this->ReadLater();
    CPPUNIT_ASSERT(this->link->EndpointRows().version > reported);
  }

  // Guards against a VM that the store no longer knows being counted.
  void FleetPagesOfTwoErasAreNotCombined() {
    const auto put = [this](const std::string& vm) {
      this->store->Put("laburnumkeel", "vm/" + vm,
                       {{"address", "127.0.0.1:1"}, {"processor_share", 0.1}});
    };
    put("b");
    put("c");
    put("d");
    this->ReadFleet();
    const std::uint64_t copied_version = this->store->Version();
    put("a");
    this->store->SetPageSize(1);
    const int calls = this->store->Calls("laburnumkeel");
    this->link->ReadFleetSoon();
    this->link->Tick(this->Now(), false);
    // The pages of this VM and of "a" have been sent.
    while (this->store->Calls("laburnumkeel") < calls + 3) {
      this->context->loop.restart();
      this->context->loop.run_one_for(milliseconds(20));
    }
    this->store->Restore(copied_version);
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(50));
    CPPUNIT_ASSERT(!this->link->Vms().contains("a"));
  }

  // Guards against limits that are divided among too few VMs: the copy lacks a
  // VM, whose first reading after the restore fails while the leader responds.
  void VmRegistersAgainInARestoredStore() {
    const auto is_registered = [this] {
      return !this->store->Value("laburnumkeel", "vm/").empty();
    };
    this->ReadFleet();
    CPPUNIT_ASSERT(is_registered());
    this->store->Restore(0);
    CPPUNIT_ASSERT(!is_registered());
    this->store->Refuse(503);
    this->ReadLater();
    for (int step = 0; step < 3; ++step) {
      this->context->clock.Advance(milliseconds(700));
      this->context->leader_last_contact = this->Now();
      this->link->Tick(this->Now(), false);
      this->context->loop.restart();
      this->context->loop.run_for(milliseconds(50));
      this->store->Refuse(std::nullopt);
    }
    CPPUNIT_ASSERT(is_registered());
  }

  // Guards against an endpoint that is used again, and then gets the time of a
  // new departure, because it announced its departure after the copy.
  void DepartureThatTheCopyLacksGoesOn() {
    const std::uint64_t copied_version = this->store->Version();
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    const auto deadline = this->Deadline("a");
    CPPUNIT_ASSERT(deadline.has_value());
    this->store->Restore(copied_version);
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->endpoints.at("a").is_draining);
    this->PutEndpoint("a", "draining");
    this->ReadLater();
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("a") == deadline);
    // Once the databases have had time to register again, the store is right.
    this->PutEndpoint("a", "ready");
    this->ReadLater();
    CPPUNIT_ASSERT(!this->Deadline("a").has_value());
  }

  // Guards against all endpoints counting as gone because a table became due to
  // be read in full while its changes were being read.
  void ChangesUnderWayAreNotTakenForAllRows() {
    this->store->Restore(this->store->Version());
    this->ReadLater();
    this->PutEndpoint("a", "draining");
    this->context->clock.Advance(kReadInterval);
    this->link->Tick(this->Now(), true);
    this->context->clock.Advance(kReadInterval);
    this->Read();
    CPPUNIT_ASSERT(this->context->endpoints.at("a").is_draining);
    CPPUNIT_ASSERT(!this->Deadline("b").has_value());
  }

  void EndpointThatTheCopyLacksStaysInUse() {
    const std::uint64_t copied_version = this->store->Version();
    this->PutEndpoint("c", "ready");
    this->ReadLater();
    this->store->Restore(copied_version);
    this->ReadLater();
    CPPUNIT_ASSERT(!this->Deadline("c").has_value());
    this->ReadLater();
    this->ReadLater();
    CPPUNIT_ASSERT(this->Deadline("c").has_value());
  }

  void EvacuationThatTheCopyLacksGoesOn() {
    const std::uint64_t copied_version = this->store->Version();
    this->store->Put("op", "evacuate/dc", 1);
    this->ReadLater();
    this->store->Restore(copied_version);
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->evacuations.Contains("dc"));
    this->ReadLater();
    this->ReadLater();
    CPPUNIT_ASSERT(!this->context->evacuations.Contains("dc"));
  }

  // Guards against an entry of another writer that ends or blinds whoever reads
  // the list, in full, page by page, or by its changes.
  void OddEntriesHideNoOther() {
    this->PutOddEntries();
    this->PutEndpoint("i-1", "ready");
    this->PutEndpoint("z-1", "ready");
    this->store->DropHistory();
    this->store->SetPageSize(1);
    for (int page = 0; page < 20; ++page) {
      this->ReadLater();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a b i-1 z-1 "), this->EndpointIds());
    this->PutOddEntries();
    this->PutEndpoint("z-2", "ready");
    this->ReadLater();
    CPPUNIT_ASSERT_EQUAL(std::string("a b i-1 z-1 z-2 "), this->EndpointIds());
    // An odd value under the id of a known endpoint is no registration.
    this->store->Put("servers", "z-2", 5);
    this->ReadLater();
    CPPUNIT_ASSERT(this->context->endpoint_departures.Contains("z-2"));
    CPPUNIT_ASSERT(!this->context->endpoint_departures.Contains("z-1"));
  }

 private:
  std::string EndpointIds() const {
    std::string ids;
    for (const auto& [id, endpoint] : this->context->endpoints) {
      ids += id + " ";
    }
    return ids;
  }

  void PutOddEntries() {
    const nlohmann::json usable = testing::EndpointEntry("127.0.0.1:1");
    nlohmann::json port = usable;
    port["address"] = "127.0.0.1:70000";
    this->store->Put("servers", "odd port", port);
    nlohmann::json number = usable;
    number["slots"] = 1e300;
    this->store->Put("servers", "odd&number=1%", number);
    nlohmann::json missing = usable;
    missing.erase("slots");
    this->store->Put("servers", "odd-missing", missing);
    nlohmann::json nested = nlohmann::json::array();
    for (int depth = 0; depth < 2000; ++depth) {
      nested = nlohmann::json::array({std::move(nested)});
    }
    this->store->Put("servers", "odd/\xC3\xA9", nested);
  }

  // Longer than the time after which a VM reads the tables again.
  static constexpr milliseconds kReadInterval{2500};
  static constexpr milliseconds kDrainBound{7000};
  static constexpr milliseconds kSettleTime{4000};

  void PutEndpoint(const std::string& id, const std::string& state) {
    nlohmann::json entry = testing::EndpointEntry("127.0.0.1:1");
    entry["state"] = state;
    this->store->Put("servers", id, entry);
  }

  // Each raises the store's version.
  void PutUnrelatedRows(int count) {
    for (int row = 0; row < count; ++row) {
      this->store->Put("status", "row", row);
    }
  }

  Instant Now() const { return this->context->clock.Now(); }

  std::optional<Instant> Deadline(const std::string& id) const {
    return this->context->endpoint_departures.Deadline(
        id, {kDrainBound, kSettleTime});
  }

  // Lets time pass until both tables are due, and reads them.
  void ReadLater() {
    this->context->clock.Advance(kReadInterval);
    this->Read();
  }

  // Reads the fleet table until all pages have arrived.
  void ReadFleet() {
    this->link->ReadFleetSoon();
    this->link->Tick(this->Now(), false);
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(100));
  }

  void Read() {
    this->link->Tick(this->Now(), true);
    // A call takes a few handlers on each side. The operators' table is read
    // again and again, so the loop does not become idle.
    constexpr int kHandlers = 200;
    for (int handled = 0; handled < kHandlers; ++handled) {
      this->context->loop.restart();
      if (this->context->loop.run_one_for(milliseconds(50)) == 0) {
        return;
      }
    }
  }

  std::unique_ptr<ProxyContext> context;
  std::unique_ptr<FakeStore> store;
  std::unique_ptr<StoreLink> link;
  int changes = 0;
  bool has_leader = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreLinkTest);

}  // namespace
}  // namespace laburnumkeel::proxy
