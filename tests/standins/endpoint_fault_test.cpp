#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <optional>

#include "tests/standins/endpoint_group.h"

namespace laburnumkeel::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::FailureStage;

// Shorter than the timeouts of the product, longer than a normal response.
constexpr milliseconds kSilence{250};

class EndpointFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointFaultTest);
  CPPUNIT_TEST(DownRefusesAndCloses);
  CPPUNIT_TEST(SlowDelaysExecution);
  CPPUNIT_TEST(LateAnswerDelaysResponse);
  CPPUNIT_TEST(LosesResponses);
  CPPUNIT_TEST(ClosesBeforeExecution);
  CPPUNIT_TEST(GarblesResponses);
  CPPUNIT_TEST(FreezeOfExistingKeepsSlots);
  CPPUNIT_TEST(FreezeOfAllEnds);
  CPPUNIT_TEST(CutSilencesOrigins);
  CPPUNIT_TEST(CountsAndPathsLimitFaults);
  CPPUNIT_TEST(RefusesMalformedFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->group.emplace(1); }
  void tearDown() override { this->group.reset(); }

  // Guards against a fault that leaves connections of a dead endpoint usable.
  void DownRefusesAndCloses() {
    auto open = Connect(EndpointGroup::Address(0));
    Call(open, "GET", "/v1/status");
    this->SetFault({{"mode", "down"}});
    CPPUNIT_ASSERT(Eventually([&] { return !open.IsUsable(); }));
    const auto refused = transport::HttpConnection::Open(
        EndpointGroup::Address(0), transport::ConnectionLimits{});
    CPPUNIT_ASSERT(!refused.has_value());
    this->SetFault({{"mode", "none"}});
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r1")["result"]);
  }

  // Guards against a delay after the execution, which is another fault.
  void SlowDelaysExecution() {
    this->SetFault({{"mode", "slow"}, {"milliseconds", 300}});
    CPPUNIT_ASSERT(!this->Try("r1", kSilence).has_value());
    CPPUNIT_ASSERT_EQUAL(0, this->Executions("r1"));
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r2")["result"]);
  }

  // Guards against a late response without an execution.
  void LateAnswerDelaysResponse() {
    this->SetFault({{"mode", "late_answer"}, {"milliseconds", 400}});
    CPPUNIT_ASSERT(!this->Try("r1", kSilence).has_value());
    CPPUNIT_ASSERT_EQUAL(1, this->Executions("r1"));
    const auto begin = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r2")["result"]);
    CPPUNIT_ASSERT(steady_clock::now() - begin >= milliseconds(400));
  }

  // Guards against a lost response whose request was not executed.
  void LosesResponses() {
    for (const char* mode : {"lose_answers", "half_answer"}) {
      this->SetFault({{"mode", mode}, {"count", 1}});
      const auto response = this->Try(mode, kPatience);
      CPPUNIT_ASSERT_MESSAGE(mode, !response.has_value());
      CPPUNIT_ASSERT_MESSAGE(mode,
                             response.error().stage == FailureStage::kSent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, 1, this->Executions(mode));
    }
  }

  // Guards against a closed connection whose request was executed.
  void ClosesBeforeExecution() {
    for (const char* mode : {"close_before_execute", "reset_after_read"}) {
      this->SetFault({{"mode", mode}, {"count", 1}});
      const auto response = this->Try(mode, kPatience);
      CPPUNIT_ASSERT_MESSAGE(mode, !response.has_value());
      const bool reset =
          response.error().message.find("reset by peer") != std::string::npos;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          mode, std::string(mode) == "reset_after_read", reset);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, 0, this->Executions(mode));
    }
  }

  // Guards against corrupted responses that a correct client would accept.
  void GarblesResponses() {
    this->SetFault({{"mode", "crossed_answer"}, {"count", 1}});
    const json crossed = this->Put("r1");
    CPPUNIT_ASSERT(crossed["request_id"] != "r1");
    CPPUNIT_ASSERT_EQUAL(json("v"), crossed["result"]);
    this->SetFault({{"mode", "oversized_answer"}, {"count", 1}});
    CPPUNIT_ASSERT(!this->Try("r2", kPatience).has_value());
    this->SetFault({{"mode", "doubled_answer"}, {"count", 1}});
    auto connection = Connect(EndpointGroup::Address(0));
    Call(connection, "POST", "/v1/execute", StatementBody("r3", "PUT k v"));
    CPPUNIT_ASSERT(Eventually([&] { return !connection.IsUsable(); }));
    CPPUNIT_ASSERT_EQUAL(1, this->Executions("r2"));
    CPPUNIT_ASSERT_EQUAL(1, this->Executions("r3"));
  }

  // Guards against silent connections that use no resources of the endpoint:
  // each keeps its slot until the client closes it.
  void FreezeOfExistingKeepsSlots() {
    std::vector<transport::HttpConnection> silent;
    for (int index = 0; index < 3; ++index) {
      silent.push_back(Connect(EndpointGroup::Address(0)));
      Call(silent.back(), "GET", "/v1/status");
    }
    this->SetFault({{"mode", "freeze"}, {"scope", "existing"}});
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r0")["result"]);
    std::atomic<int> responses = 0;
    std::vector<std::thread> waiting;
    for (auto& connection : silent) {
      waiting.emplace_back([&connection, &responses] {
        const auto request = MakeRequest("POST", "/v1/execute",
                                         StatementBody("s", "PUT k s"), "");
        responses +=
            connection.Exchange(request, std::chrono::seconds(2)).has_value()
                ? 1
                : 0;
      });
    }
    std::this_thread::sleep_for(kSilence);
    CPPUNIT_ASSERT_EQUAL(json("no_slot"), this->Put("r1")["error"]);
    for (auto& thread : waiting) {
      thread.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, responses.load());
    // The clients closed their connections after the timeout.
    CPPUNIT_ASSERT(
        Eventually([&] { return !this->Put("r2").contains("error"); }));
    CPPUNIT_ASSERT_EQUAL(0, this->Executions("s"));
  }

  // Guards against a frozen endpoint that responds on new connections.
  void FreezeOfAllEnds() {
    this->SetFault({{"mode", "freeze"}, {"scope", "all"}});
    CPPUNIT_ASSERT(!this->Try("r1", kSilence).has_value());
    this->SetFault({{"mode", "none"}});
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r2")["result"]);
    CPPUNIT_ASSERT_EQUAL(0, this->Executions("r1"));
  }

  // Guards against a cut that executes requests or affects other origins.
  void CutSilencesOrigins() {
    this->SetFault({{"mode", "cut"}, {"origins", {"vm7", "dc9"}}});
    CPPUNIT_ASSERT(!this->Try("r1", kSilence, "vm7/dc1").has_value());
    CPPUNIT_ASSERT(!this->Try("r1", kSilence, "vm1/dc9").has_value());
    CPPUNIT_ASSERT_EQUAL(json("v"), this->Put("r2")["result"]);
    this->SetFault({{"mode", "none"}});
    CPPUNIT_ASSERT(this->Try("r3", kPatience, "vm7/dc9").has_value());
    CPPUNIT_ASSERT_EQUAL(0, this->Executions("r1"));
  }

  // Guards against status polls that use up the count of a fault.
  void CountsAndPathsLimitFaults() {
    this->SetFault({{"mode", "lose_answers"}, {"count", 1}});
    EndpointGroup::Status(0);
    CPPUNIT_ASSERT(!this->Try("r1", kPatience).has_value());
    CPPUNIT_ASSERT(this->Try("r2", kPatience).has_value());
    this->SetFault({{"mode", "lose_answers"}, {"paths", {"/v1/seal"}}});
    CPPUNIT_ASSERT(this->Try("r3", kPatience).has_value());
    auto connection = Connect(EndpointGroup::Address(0));
    const json seal{{"term", 2}, {"promoter", "p"}};
    CPPUNIT_ASSERT(
        !connection
             .Exchange(MakeRequest("POST", "/v1/seal", seal, ""), kPatience)
             .has_value());
    CPPUNIT_ASSERT_EQUAL(json(2), EndpointGroup::Status(0)["sealed_term"]);
  }

  // Guards against a mistyped fault that leaves a test without any.
  void RefusesMalformedFaults() {
    for (const char* text :
         {R"({"mode":"slow"})", R"({"mode":"asleep"})", R"({"mode":"cut"})",
          R"({"mode":"none","count":1})", R"({"mode":"freeze","scope":"x"})",
          R"({"mode":"slow","milliseconds":-1})",
          R"({"mode":"down","origins":["a"]})", "[]"}) {
      const json response = Call(EndpointGroup::FaultsAddress(0), "POST",
                                 "/faults", json::parse(text));
      CPPUNIT_ASSERT_MESSAGE(text, response.contains("error"));
    }
  }

 private:
  static void SetFault(const json& fault) { EndpointGroup::SetFault(0, fault); }

  static int Executions(const std::string& request_id) {
    return EndpointGroup::Executions(0, request_id);
  }

  static json Put(const std::string& request_id) {
    return Call(EndpointGroup::Address(0), "POST", "/v1/execute",
                StatementBody(request_id, "PUT k v"));
  }

  // Sends a write on a connection of its own, which is closed afterwards.
  static kernel::Result<transport::HttpResponse, transport::TransportError> Try(
      const std::string& request_id, milliseconds timeout,
      const std::string& origin = "vm1/dc1") {
    auto connection = Connect(EndpointGroup::Address(0));
    return connection.Exchange(
        MakeRequest("POST", "/v1/execute", StatementBody(request_id, "PUT k v"),
                    origin),
        timeout);
  }

  std::optional<EndpointGroup> group;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointFaultTest);

}  // namespace
}  // namespace laburnumkeel::testing
