#include "laburnumkeel/endpoints/endpoint_connection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/scripted_server.h"
#include "tests/support/wait_until.h"

namespace laburnumkeel::endpoints {
namespace {

using testing::Reply;
using testing::ScriptedServer;
using testing::WaitUntil;

constexpr std::chrono::milliseconds kTimeout{2000};
constexpr std::chrono::milliseconds kShortTimeout{100};

class EndpointConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointConnectionTest);
  CPPUNIT_TEST(ExecutesAndReportsThePosition);
  CPPUNIT_TEST(SendsOriginAndNoKey);
  CPPUNIT_TEST(FailureAfterSendingIsUnknownAndClosesTheConnection);
  CPPUNIT_TEST(NothingSentIsNotRun);
  CPPUNIT_TEST(RefusalIsNotRunAndKeepsTheConnection);
  CPPUNIT_TEST(RefusalOfAnotherRequestIsUnknown);
  CPPUNIT_TEST(RequestOnConnectionClosedByTheEndpointIsNotRun);
  CPPUNIT_TEST(SecondResponseIsNeverUsed);
  CPPUNIT_TEST(ResponseAfterTheTimeoutIsNeverUsed);
  CPPUNIT_TEST(CloseAfterResponseKeepsTheResult);
  CPPUNIT_TEST(IncompleteResultIsUnknown);
  CPPUNIT_TEST(InterruptEndsACall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting a wrong log position or altering the result.
  void ExecutesAndReportsThePosition() {
    EndpointConnection connection = this->Open();
    const auto result = connection.Execute(Write("r1"), kTimeout);
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(
        result.value() ==
        (StatementResult{"r1", R"("PUT k v")", model::LogPosition{3, 7}}));
    CPPUNIT_ASSERT(connection.IsUsable());
  }

  // Guards against sending a caller's key to an endpoint: a request may contain
  // only the fields and headers listed here.
  void SendsOriginAndNoKey() {
    EndpointConnection connection = this->Open();
    StatementRequest request = Write("r1");
    request.idempotency_id = "i1";
    CPPUNIT_ASSERT(connection.Execute(request, kTimeout).has_value());
    const auto received = this->server.Received().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1/dc-1"),
                         received.headers.at("Laburnumkeel-Origin"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, received.headers.size());
    CPPUNIT_ASSERT(nlohmann::json::parse(received.body) ==
                   (nlohmann::json{{"request_id", "r1"},
                                   {"term", 3},
                                   {"kind", "write"},
                                   {"statement", "PUT k v"},
                                   {"account", "account-1"},
                                   {"idempotency_id", "i1"}}));
  }

  // Guards against reporting `not_run` for a request that the endpoint
  // received, sending a request twice, and reusing a connection on which a
  // response is outstanding.
  void FailureAfterSendingIsUnknownAndClosesTheConnection() {
    const std::vector<Reply> replies{Reply::kCloseBeforeReading,
                                     Reply::kCloseAfterReading,
                                     Reply::kHalf,
                                     Reply::kHalfThenSilent,
                                     Reply::kLate,
                                     Reply::kSilent,
                                     Reply::kWrongRequestId,
                                     Reply::kOversized,
                                     Reply::kNotJson,
                                     Reply::kDeeplyNested,
                                     Reply::kServerError};
    int number = 0;
    for (const Reply reply : replies) {
      const std::string context = "reply " + std::to_string(number);
      const std::string id = "r" + std::to_string(number++);
      EndpointConnection connection = this->Open();
      this->server.SetReply(reply);
      const bool waits = reply == Reply::kHalfThenSilent ||
                         reply == Reply::kLate || reply == Reply::kSilent;
      const auto result =
          connection.Execute(Write(id), waits ? kShortTimeout : kTimeout);
      CPPUNIT_ASSERT_MESSAGE(context, !result.has_value());
      CPPUNIT_ASSERT_MESSAGE(
          context, result.error().outcome == model::Outcome::kUnknown);
      CPPUNIT_ASSERT_MESSAGE(context, !connection.IsUsable());
      const std::size_t expected = reply == Reply::kCloseBeforeReading ? 0 : 1;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(context, expected, this->server.CountOf(id));
      this->ExpectNotRunAndNotReceived(connection, id + "-next");
    }
  }

  // Guards against reporting `unknown` when nothing was sent, which would
  // prevent a retry.
  void NothingSentIsNotRun() {
    EndpointConnection connection = this->Open();
    const auto late =
        connection.Execute(Write("r1"), std::chrono::milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::string(codes::kDeadlinePassed),
                         late.error().code);
    CPPUNIT_ASSERT(connection.IsUsable());
    StatementRequest invalid = Write("r2");
    invalid.statement = "PUT k \xff";
    CPPUNIT_ASSERT_EQUAL(std::string(codes::kInvalidText),
                         connection.Execute(invalid, kTimeout).error().code);
    CPPUNIT_ASSERT(connection.IsUsable());
    connection.Close();
    this->ExpectNotRunAndNotReceived(connection, "r3");
    this->server.StopListening();
    const auto refused = EndpointConnection::Open(this->server.Address(),
                                                  Origin{"vm-1", "dc-1"}, {});
    CPPUNIT_ASSERT(refused.error().outcome == model::Outcome::kNotRun);
    CPPUNIT_ASSERT(this->server.Received().empty());
  }

  // Guards against closing the connection after a refusal, or reporting the
  // refusal as `unknown`.
  void RefusalIsNotRunAndKeepsTheConnection() {
    EndpointConnection connection = this->Open();
    for (const std::string_view code :
         {codes::kStaleTerm, codes::kNotPrimary, codes::kNoSlot,
          codes::kDraining, codes::kBadStatement, codes::kConflict}) {
      this->RespondWith({{"request_id", "r1"}, {"error", code}});
      const auto result = connection.Execute(Write("r1"), kTimeout);
      CPPUNIT_ASSERT(!result.has_value());
      CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kNotRun);
      CPPUNIT_ASSERT_EQUAL(std::string(code), result.error().code);
      CPPUNIT_ASSERT(connection.IsUsable());
    }
  }

  // Guards against applying the refusal of an earlier request to the current
  // one.
  void RefusalOfAnotherRequestIsUnknown() {
    EndpointConnection connection = this->Open();
    this->RespondWith({{"request_id", "r0"}, {"error", codes::kNoSlot}});
    const auto result = connection.Execute(Write("r1"), kTimeout);
    CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kUnknown);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against an automatic resend, as HTTP clients do it when a reused
  // connection turns out to be closed.
  void RequestOnConnectionClosedByTheEndpointIsNotRun() {
    EndpointConnection connection = this->Open();
    CPPUNIT_ASSERT(connection.Execute(Write("r1"), kTimeout).has_value());
    this->server.CloseConnections();
    CPPUNIT_ASSERT(WaitUntil([&] { return !connection.IsUsable(); }));
    this->ExpectNotRunAndNotReceived(connection, "r2");
  }

  // Guards against using a surplus response to one request as the response to
  // the next, whether it arrives before or after the next request is sent.
  void SecondResponseIsNeverUsed() {
    for (const Reply reply : {Reply::kTwice, Reply::kTwiceLater}) {
      this->server.SetReply(reply);
      EndpointConnection connection = this->Open();
      CPPUNIT_ASSERT(connection.Execute(Write("r1"), kTimeout).has_value());
      // The second response arrives with the first one, or arrives later.
      CPPUNIT_ASSERT(reply == Reply::kTwiceLater ||
                     WaitUntil([&] { return !connection.IsUsable(); }));
      const auto next = connection.Execute(Write("r2"), kTimeout);
      CPPUNIT_ASSERT(!next.has_value());
      CPPUNIT_ASSERT(!connection.IsUsable());
      if (next.error().outcome == model::Outcome::kNotRun) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("r2"));
      } else {
        CPPUNIT_ASSERT_EQUAL(std::string(codes::kWrongRequestId),
                             next.error().code);
      }
    }
  }

  // Guards against using a late response as the response to the next request.
  void ResponseAfterTheTimeoutIsNeverUsed() {
    this->server.SetReply(Reply::kLate);
    EndpointConnection connection = this->Open();
    CPPUNIT_ASSERT(!connection.Execute(Write("r1"), kShortTimeout).has_value());
    std::this_thread::sleep_for(testing::kReplyDelay);
    this->ExpectNotRunAndNotReceived(connection, "r2");
  }

  // Guards against discarding a complete response because the endpoint closed
  // the connection after sending it.
  void CloseAfterResponseKeepsTheResult() {
    this->server.SetReply(Reply::kCompleteThenClose);
    EndpointConnection connection = this->Open();
    CPPUNIT_ASSERT(connection.Execute(Write("r1"), kTimeout).has_value());
    CPPUNIT_ASSERT(WaitUntil([&] { return !connection.IsUsable(); }));
    this->ExpectNotRunAndNotReceived(connection, "r2");
  }

  // Guards against reporting success without a log position or result.
  void IncompleteResultIsUnknown() {
    const nlohmann::json complete{
        {"request_id", "r1"}, {"term", 3}, {"position", 7}, {"result", 1}};
    for (const char* missing : {"request_id", "term", "position", "result"}) {
      EndpointConnection connection = this->Open();
      nlohmann::json document = complete;
      document.erase(missing);
      this->RespondWith(document);
      const auto result = connection.Execute(Write("r1"), kTimeout);
      CPPUNIT_ASSERT(!result.has_value());
      CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kUnknown);
      CPPUNIT_ASSERT(!connection.IsUsable());
    }
  }

  // Guards against a revoked transaction that blocks on an unresponsive
  // endpoint.
  void InterruptEndsACall() {
    this->server.SetReply(Reply::kSilent);
    EndpointConnection connection = this->Open();
    std::thread other([&] {
      WaitUntil([&] { return this->server.CountOf("r1") == 1; });
      connection.Interrupt();
    });
    const auto result =
        connection.Execute(Write("r1"), std::chrono::seconds(10));
    other.join();
    CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kUnknown);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

 private:
  static StatementRequest Write(const std::string& request_id) {
    return StatementRequest{request_id,  StatementKind::kWrite, "PUT k v",
                            "account-1", std::nullopt,          3};
  }

  EndpointConnection Open() const {
    auto connection = EndpointConnection::Open(this->server.Address(),
                                               Origin{"vm-1", "dc-1"}, {});
    CPPUNIT_ASSERT(connection.has_value());
    return std::move(connection.value());
  }

  void RespondWith(const nlohmann::json& document) {
    this->server.SetResponder(
        [text = document.dump()](const testing::ReceivedRequest&) {
          return text;
        });
  }

  void ExpectNotRunAndNotReceived(EndpointConnection& connection,
                                  const std::string& request_id) {
    const auto result = connection.Execute(Write(request_id), kTimeout);
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf(request_id));
  }

  ScriptedServer server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointConnectionTest);

}  // namespace
}  // namespace laburnumkeel::endpoints
