#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <string_view>

#include "laburnumkeel/model/store_version.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/relay_sources.h"
#include "programs/laburnumkeel-proxy/relayed_rows.h"
#include "programs/laburnumkeel-proxy/store_link.h"
#include "tests/support/endpoint_entry.h"
#include "tests/support/fake_store.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::proxy {
namespace {

using std::chrono::milliseconds;
using testing::FakeStore;

// A VM that reads the store. Each VM has a copy of the store, so that one VM
// can be refused.
struct Vm {
  explicit Vm(const std::string& name)
      : context(platform_adapter::ProxySettings()), store(context.loop) {
    this->context.settings.vm = name;
    this->context.settings.data_centre = "dc";
    const std::string address = testing::FreeAddress();
    const std::size_t colon = address.find(':');
    this->context.settings.ip = address.substr(0, colon);
    this->context.settings.peer_port =
        static_cast<decltype(this->context.settings.peer_port)>(
            std::stoi(address.substr(colon + 1)));
    this->context.settings.store_address = this->store.Address();
    this->context.clock.Pause();
    this->link = std::make_unique<StoreLink>(
        this->context,
        StoreLink::Observers{[] {}, [](const auto*, auto, auto) {}});
    CPPUNIT_ASSERT(this->link->Listen());
  }

  std::int64_t Configuration() const {
    return this->context.configuration ? this->context.configuration->version
                                       : 0;
  }

  ProxyContext context;
  FakeStore store;
  std::unique_ptr<StoreLink> link;
};

// A VM that the store refuses, and the leader, which the store serves.
class RowRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowRelayTest);
  CPPUNIT_TEST(ConfigurationReachesAVmThatTheStoreRefuses);
  CPPUNIT_TEST(DepartureReachesAVmThatTheStoreRefuses);
  CPPUNIT_TEST(VmThatIsBehindGivesNothing);
  CPPUNIT_TEST(RowsOfAnotherEraAreNotTaken);
  CPPUNIT_TEST(NeighboursTakeTurnsWithTheLeader);
  CPPUNIT_TEST(OddMessagesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->refused = std::make_unique<Vm>("refused");
    this->leader = std::make_unique<Vm>("leader");
    this->Put("op", "config", {{"version", 1}});
    this->Put("servers", "a", testing::EndpointEntry("127.0.0.1:1"));
    this->Let(milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, this->refused->Configuration());
    this->refused->store.Refuse(429);
    this->refused->context.leader_address =
        this->leader->context.settings.PeerAddress();
  }

  void tearDown() override {
    this->refused.reset();
    this->leader.reset();
  }

  // Guards against a withdrawn key that works for as long as the store refuses
  // a VM.
  void ConfigurationReachesAVmThatTheStoreRefuses() {
    this->Put("op", "config", {{"version", 2}});
    this->Let(milliseconds(2500));
    this->Let(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, this->refused->Configuration());
    CPPUNIT_ASSERT(this->refused->link->OperatorRows().version ==
                   this->leader->link->OperatorRows().version);
  }

  void DepartureReachesAVmThatTheStoreRefuses() {
    this->leader->store.Remove("servers", "a");
    this->Let(milliseconds(2500));
    this->Let(milliseconds(300));
    CPPUNIT_ASSERT(this->refused->context.endpoint_departures.Contains("a"));
  }

  // Guards against a VM that takes rows from before what it knows to exist.
  void VmThatIsBehindGivesNothing() {
    this->leader->store.Refuse(429);
    this->refused->context.clock.Advance(milliseconds(500));
    const StoreLink::TableState newer{model::StoreVersion(1, 9),
                                      this->refused->context.clock.Now()};
    this->refused->link->OnPeerTableState(newer, newer);
    const std::uint64_t known = this->refused->link->OperatorRows().version;
    this->Run();
    CPPUNIT_ASSERT_EQUAL(known, this->refused->link->OperatorRows().version);
    CPPUNIT_ASSERT(this->refused->context.metrics.Counter("rows_asked_of_vms") >
                   0);
  }

  // Guards against rows that a restored store no longer has.
  void RowsOfAnotherEraAreNotTaken() {
    this->leader->store.Restore(0);
    this->leader->store.Put("op", "config", {{"version", 2}});
    this->Let(milliseconds(2500));
    this->Let(milliseconds(5000));
    this->Let(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, this->leader->Configuration());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, this->refused->Configuration());
  }

  void NeighboursTakeTurnsWithTheLeader() {
    const std::map<std::string, VmRow> vms{{"a", {"A", 1, "dc"}},
                                           {"b", {"B", 1, "dc"}},
                                           {"c", {"C", 1, "dc"}},
                                           {"d", {"D", 1, "other"}}};
    RelaySources sources;
    std::string asked;
    for (int attempt = 0; attempt < 5; ++attempt) {
      asked += sources.Next(vms, "b", "dc", "L");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("CLALC"), asked);
    CPPUNIT_ASSERT_EQUAL(std::string("L"),
                         RelaySources().Next({}, "b", "dc", "L"));
    CPPUNIT_ASSERT_EQUAL(std::string(), RelaySources().Next({}, "b", "dc", ""));
  }

  void OddMessagesAreRejected() {
    const RelayRequest request{"op", model::StoreVersion(2, 9)};
    CPPUNIT_ASSERT(DecodeTarget(EncodeTarget(request)) == request);
    for (const char* target :
         {"", "/rows/", "/rows/op", "/rows/op/", "/rows/op/x", "/rows/op/1/2",
          "/rows/op/-1", "/rows/op/99999999999999999999", "/other/op/1"}) {
      CPPUNIT_ASSERT_MESSAGE(target, !DecodeTarget(target));
    }
    const RelayedRows rows{
        9,
        std::chrono::microseconds(5),
        {{"", "a/b", std::string("\0\xff{", 3), model::StoreVersion(2, 8)}}};
    CPPUNIT_ASSERT(DecodeRelayed(EncodeRelayed(rows)) == rows);
    CPPUNIT_ASSERT(
        !DecodeRelayed(EncodeRelayed({9, std::chrono::microseconds(-1), {}})));
    CPPUNIT_ASSERT(!DecodeRelayed(""));
    CPPUNIT_ASSERT(!DecodeRelayed("{}"));
  }

 private:
  void Put(const std::string& table, const std::string& key,
           const nlohmann::json& value) {
    this->refused->store.Put(table, key, value);
    this->leader->store.Put(table, key, value);
  }

  // Lets time pass, and the VMs do what is due: the leader first, whose report
  // the other one receives.
  void Let(milliseconds time) {
    this->leader->context.clock.Advance(time);
    this->refused->context.clock.Advance(time);
    this->leader->link->Tick(this->leader->context.clock.Now(), false);
    this->Run();
    this->refused->link->OnPeerTableState(this->leader->link->OperatorRows(),
                                          this->leader->link->EndpointRows());
    this->refused->link->Tick(this->refused->context.clock.Now(), false);
    this->Run();
  }

  void Run() {
    for (int turn = 0; turn < 20; ++turn) {
      for (const auto& vm : {this->refused.get(), this->leader.get()}) {
        vm->context.loop.restart();
        vm->context.loop.run_for(milliseconds(2));
      }
    }
  }

  std::unique_ptr<Vm> refused;
  std::unique_ptr<Vm> leader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowRelayTest);

}  // namespace
}  // namespace laburnumkeel::proxy
