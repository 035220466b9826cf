#include <cppunit/extensions/HelperMacros.h>

#include "tests/standins/endpoint_group.h"

namespace laburnumkeel::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

class EndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointTest);
  CPPUNIT_TEST(ReplicatesAndOverwritesDivergedTail);
  CPPUNIT_TEST(FormerPrimaryRefusesAfterSeal);
  CPPUNIT_TEST(ReplicationStopsWhileDown);
  CPPUNIT_TEST(RestartedPrimaryIsReplica);
  CPPUNIT_TEST(TransactionEndsWithItsConnection);
  CPPUNIT_TEST(RefusesWithoutSlot);
  CPPUNIT_TEST(RecordsReceivedBytes);
  CPPUNIT_TEST(AddsLatencyOfOrigin);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a group that keeps writes of a cut-off former primary.
  void ReplicatesAndOverwritesDivergedTail() {
    const EndpointGroup group(3);
    this->Execute(0, "r1", "PUT k old");
    CPPUNIT_ASSERT(this->AllAt(2));
    EndpointGroup::SetFault(0, {{"mode", "cut"}, {"origins", {"db1", "dc2"}}});
    this->Execute(0, "r2", "PUT k lost");
    this->Execute(0, "r3", "PUT k lost");
    this->Promote(1, {1, 2});
    this->Execute(1, "r4", "PUT k new", 2);
    CPPUNIT_ASSERT_EQUAL(json(4), EndpointGroup::Status(0)["position"]);
    CPPUNIT_ASSERT_EQUAL(json("primary"), EndpointGroup::Status(0)["role"]);
    EndpointGroup::SetFault(0, {{"mode", "none"}});
    CPPUNIT_ASSERT(Eventually([] {
      return EndpointGroup::Status(0)["term"] == 2 &&
             EndpointGroup::Status(0)["position"] == 4;
    }));
    CPPUNIT_ASSERT_EQUAL(json("replica"), EndpointGroup::Status(0)["role"]);
    CPPUNIT_ASSERT_EQUAL(json("new"),
                         this->Execute(0, "r5", "GET k")["result"]);
    const json starts{{{"term", 1}, {"start", 0}}, {{"term", 2}, {"start", 2}}};
    CPPUNIT_ASSERT_EQUAL(starts, EndpointGroup::Status(0)["term_starts"]);
  }

  // Guards against writes in a term after a majority sealed a higher one (I2).
  void FormerPrimaryRefusesAfterSeal() {
    const EndpointGroup group(3);
    this->Promote(1, {0, 1, 2});
    CPPUNIT_ASSERT_EQUAL(json("stale_term"),
                         this->Execute(0, "r1", "PUT k v")["error"]);
    CPPUNIT_ASSERT_EQUAL(json("not_primary"),
                         this->Execute(0, "r2", "PUT k v", 2)["error"]);
    CPPUNIT_ASSERT_EQUAL(0, EndpointGroup::Executions(0, "r1"));
    CPPUNIT_ASSERT_EQUAL(
        json(false), Call(EndpointGroup::Address(0), "POST", "/v1/seal",
                          {{"term", 2}, {"promoter", "other"}})["accepted"]);
  }

  // Guards against an endpoint that is down but still sends entries to its
  // replicas.
  void ReplicationStopsWhileDown() {
    const EndpointGroup group(2);
    CPPUNIT_ASSERT(
        Eventually([] { return EndpointGroup::Status(1)["position"] == 1; }));
    EndpointGroup::SetFault(0, {{"mode", "down"}});
    std::this_thread::sleep_for(milliseconds(300));
    CPPUNIT_ASSERT(EndpointGroup::Status(1)["staleness_ms"] >= 200);
    EndpointGroup::SetFault(0, {{"mode", "none"}});
    CPPUNIT_ASSERT(Eventually(
        [] { return EndpointGroup::Status(1)["staleness_ms"] < 200; }));
  }

  // Guards against a restarted primary that writes other entries into
  // positions which its replicas hold.
  void RestartedPrimaryIsReplica() {
    EndpointGroup group(2);
    this->Execute(0, "r1", "PUT k v");
    CPPUNIT_ASSERT(
        Eventually([] { return EndpointGroup::Status(1)["position"] == 2; }));
    group.Restart(0);
    CPPUNIT_ASSERT_EQUAL(json("replica"), EndpointGroup::Status(0)["role"]);
    this->Promote(1, {0, 1});
    CPPUNIT_ASSERT(
        Eventually([] { return EndpointGroup::Status(0)["position"] == 3; }));
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Execute(0, "r2", "GET k")["result"]);
  }

  // Guards against an open transaction that is committed, or holds its slot,
  // after its connection was lost.
  void TransactionEndsWithItsConnection() {
    const EndpointGroup group(1);
    for (int round = 0; round < 4; ++round) {
      auto connection = Connect(EndpointGroup::Address(0));
      Call(connection, "POST", "/v1/begin", StatementBody("b", ""));
      const json put = Call(connection, "POST", "/v1/execute",
                            StatementBody("p", "PUT k v"));
      CPPUNIT_ASSERT_EQUAL(json("v"), put["result"]);
    }
    CPPUNIT_ASSERT_EQUAL(json(nullptr),
                         this->Execute(0, "r1", "GET k")["result"]);
    auto other = Connect(EndpointGroup::Address(0));
    const json commit =
        Call(other, "POST", "/v1/commit", StatementBody("c", ""));
    CPPUNIT_ASSERT_EQUAL(json("bad_statement"), commit["error"]);
  }

  // Guards against more statements at once than the endpoint has slots, and
  // against a commit or abort that keeps its slot.
  void RefusesWithoutSlot() {
    const EndpointGroup group(1);
    std::vector<transport::HttpConnection> connections;
    for (int index = 0; index < 3; ++index) {
      connections.push_back(Connect(EndpointGroup::Address(0)));
      Call(connections.back(), "POST", "/v1/begin", StatementBody("b", ""));
    }
    const auto begin = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(json("no_slot"),
                         this->Execute(0, "r1", "PUT k v")["error"]);
    const auto waited = steady_clock::now() - begin;
    CPPUNIT_ASSERT(waited >= milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0, EndpointGroup::Executions(0, "r1"));
    Call(connections[0], "POST", "/v1/abort", StatementBody("a", ""));
    CPPUNIT_ASSERT_EQUAL(json("v"),
                         this->Execute(0, "r2", "PUT k v")["result"]);
  }

  // Guards against a test for leaked keys that searches an incomplete record.
  void RecordsReceivedBytes() {
    const EndpointGroup group(1);
    this->Execute(0, "r1", "PUT k a-caller's-key");
    auto connection = Connect(EndpointGroup::FaultsAddress(0));
    const auto response = connection.Exchange(
        MakeRequest("GET", "/received", nullptr, ""), kPatience);
    const std::string& body = response.value().body;
    CPPUNIT_ASSERT(body.starts_with("POST /v1/execute HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(body.find("a-caller's-key") != std::string::npos);
  }

  // Guards against tests of several data centres that run without latency.
  void AddsLatencyOfOrigin() {
    const EndpointGroup group(1);
    auto connection = Connect(EndpointGroup::Address(0));
    const auto begin = steady_clock::now();
    Call(connection, "GET", "/v1/status", nullptr, "vm1/far");
    CPPUNIT_ASSERT(steady_clock::now() - begin >= milliseconds(80));
  }

 private:
  static json Execute(int index, const std::string& request_id,
                      const std::string& statement, int term = 1) {
    return Call(EndpointGroup::Address(index), "POST", "/v1/execute",
                StatementBody(request_id, statement, term));
  }

  static bool AllAt(int position) {
    return Eventually([position] {
      return EndpointGroup::Status(1)["position"] == position &&
             EndpointGroup::Status(2)["position"] == position;
    });
  }

  // Seals term 2 on some members and promotes one of them.
  static void Promote(int target, const std::vector<int>& sealed) {
    const json body{{"term", 2}, {"promoter", "p"}};
    for (const int index : sealed) {
      const json response =
          Call(EndpointGroup::Address(index), "POST", "/v1/seal", body);
      CPPUNIT_ASSERT_EQUAL(json(true), response["accepted"]);
      CPPUNIT_ASSERT_EQUAL(json(2), response["status"]["sealed_term"]);
    }
    CPPUNIT_ASSERT_EQUAL(
        json(true), Call(EndpointGroup::Address(target), "POST", "/v1/promote",
                         body)["accepted"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

}  // namespace
}  // namespace laburnumkeel::testing
