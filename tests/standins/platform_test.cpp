#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "standins/standin-platform/standin_platform.h"
#include "tests/standins/loopback.h"

namespace laburnumkeel::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kSilence{250};

standins::PlatformSettings TestSettings() {
  standins::PlatformSettings settings;
  settings.listen = LoopbackAddress(7000);
  settings.faults_listen = LoopbackAddress(7100);
  settings.vms = "vm1=dc1/127.0.0.1:1/127.0.0.1:2";
  settings.vm_list_lag_ms = 200;
  return settings;
}

class PlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(CommitsAllOrNothing);
  CPPUNIT_TEST(ReadBackShowsLostCommit);
  CPPUNIT_TEST(FaultsWithoutExecution);
  CPPUNIT_TEST(ListsVmsAfterLag);
  CPPUNIT_TEST(KeepsObjectsAndCounts);
  CPPUNIT_TEST(ChecksSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->platform.emplace(TestSettings());
    CPPUNIT_ASSERT(this->platform->Start());
  }
  void tearDown() override { this->platform.reset(); }

  // Guards against two VMs that both win a compare-and-set, and against a
  // transaction that is carried out in part.
  void CommitsAllOrNothing() {
    const json first = this->Commit("o1", "a/b", 0);
    CPPUNIT_ASSERT_EQUAL(json(true), first["committed"]);
    CPPUNIT_ASSERT_EQUAL(json(1), first["rows"][0]["version"]);
    const json second = this->Commit("o2", "a/b", 0);
    CPPUNIT_ASSERT_EQUAL(json(false), second["committed"]);
    CPPUNIT_ASSERT_EQUAL(json("o1"), second["rows"][0]["operation_id"]);
    const json mixed =
        this->Send("POST", "/table/transactions",
                   {{"operation_id", "o3"},
                    {"conditions", {{{"key", "a/b"}, {"version", 9}}}},
                    {"writes", {{{"key", "x"}, {"value", "v"}}}}});
    CPPUNIT_ASSERT_EQUAL(json(false), mixed["committed"]);
    CPPUNIT_ASSERT(this->Send("GET", "/table/rows/x").contains("error"));
    CPPUNIT_ASSERT_EQUAL(json(true), this->Commit("o4", "a/b", 1)["committed"]);
    CPPUNIT_ASSERT_EQUAL(json(2),
                         this->Send("GET", "/table/rows/a/b")["version"]);
  }

  // Guards against a lost response whose transaction did not take effect.
  void ReadBackShowsLostCommit() {
    this->SetFault({{"mode", "lose_answers"}, {"count", 1}});
    CPPUNIT_ASSERT(!this->Try("POST", "/table/transactions", kPatience,
                              Transaction("o1", "k", 0)));
    CPPUNIT_ASSERT_EQUAL(json("o1"),
                         this->Send("GET", "/table/rows/k")["operation_id"]);
  }

  // Guards against outages in which a call takes effect.
  void FaultsWithoutExecution() {
    this->SetFault({{"mode", "freeze"}, {"scope", "all"}});
    CPPUNIT_ASSERT(!this->Try("GET", "/vms", kSilence));
    this->SetFault({{"mode", "cut"}, {"origins", {"dc1"}}});
    CPPUNIT_ASSERT(!this->Try("GET", "/vms", kSilence));
    this->SetFault({{"mode", "slow"}, {"milliseconds", 400}});
    CPPUNIT_ASSERT(!this->Try("GET", "/vms", kSilence));
    this->SetFault({{"mode", "down"}});
    CPPUNIT_ASSERT(!transport::HttpConnection::Open(
                        LoopbackAddress(7000), transport::ConnectionLimits{})
                        .has_value());
    this->SetFault({{"mode", "none"}});
    CPPUNIT_ASSERT_EQUAL(json(0), this->Counters()["reads"]);
    CPPUNIT_ASSERT(this->Try("GET", "/vms", kPatience));
    CPPUNIT_ASSERT(Call(LoopbackAddress(7100), "POST", "/faults",
                        {{"mode", "half_answer"}})
                       .contains("error"));
  }

  // Guards against code that treats the VM list as current.
  void ListsVmsAfterLag() {
    const json vm{{"name", "vm2"},
                  {"data_centre", "dc2"},
                  {"control_address", "127.0.0.1:3"},
                  {"entry_address", "127.0.0.1:4"},
                  {"state", "departing"}};
    Call(LoopbackAddress(7100), "POST", "/vms", json::array({vm}));
    const json before = this->Send("GET", "/vms");
    CPPUNIT_ASSERT_EQUAL(json("vm1"), before[0]["name"]);
    CPPUNIT_ASSERT_EQUAL(json("127.0.0.1:2"), before[0]["entry_address"]);
    CPPUNIT_ASSERT(Eventually(
        [&] { return this->Send("GET", "/vms") == json::array({vm}); }));
  }

  // Guards against a measurement of store load that misses calls.
  void KeepsObjectsAndCounts() {
    this->Send("PUT", "/objects/o", "content");
    CPPUNIT_ASSERT_EQUAL(json("content"), this->Send("GET", "/objects/o"));
    this->Commit("o1", "k", 0);
    const json counters = this->Counters();
    CPPUNIT_ASSERT_EQUAL(json(1), counters["reads"]);
    CPPUNIT_ASSERT_EQUAL(json(2), counters["writes"]);
  }

  // Guards against a mistyped list that is read as an empty one.
  void ChecksSettings() {
    standins::PlatformSettings settings = TestSettings();
    CPPUNIT_ASSERT(!settings.CheckLists().has_value());
    settings.vms = "vm1=dc1/127.0.0.1:1";
    CPPUNIT_ASSERT(settings.CheckLists().has_value());
    settings = TestSettings();
    for (const char* text : {"dc1", "dc1=", "dc1=-1", "dc1=1,dc1=2", "=1"}) {
      settings.latencies = text;
      CPPUNIT_ASSERT_MESSAGE(text, settings.CheckLists().has_value());
    }
  }

 private:
  static void SetFault(const json& fault) {
    const json response = Call(LoopbackAddress(7100), "POST", "/faults", fault);
    CPPUNIT_ASSERT_EQUAL(fault["mode"], response["mode"]);
  }

  static json Counters() {
    return Call(LoopbackAddress(7100), "GET", "/counters");
  }

  static json Send(const std::string& method, const std::string& target,
                   const json& body = nullptr) {
    return Call(LoopbackAddress(7000), method, target, body);
  }

  // False when no response arrives within the time.
  static bool Try(const std::string& method, const std::string& target,
                  milliseconds timeout, const json& body = nullptr) {
    auto connection = Connect(LoopbackAddress(7000));
    return connection
        .Exchange(MakeRequest(method, target, body, "vm1/dc1"), timeout)
        .has_value();
  }

  // Writes one row whose version has to be `version`.
  static json Transaction(const std::string& operation_id,
                          const std::string& key, int version) {
    return {{"operation_id", operation_id},
            {"conditions", {{{"key", key}, {"version", version}}}},
            {"writes", {{{"key", key}, {"value", "v"}}}}};
  }

  static json Commit(const std::string& operation_id, const std::string& key,
                     int version) {
    return Send("POST", "/table/transactions",
                Transaction(operation_id, key, version));
  }

  std::optional<standins::StandinPlatform> platform;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

}  // namespace
}  // namespace laburnumkeel::testing
