#include "laburnumkeel/endpoints/endpoint_admin_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/scripted_server.h"

namespace laburnumkeel::endpoints {
namespace {

using testing::Reply;
using testing::ScriptedServer;

class EndpointAdminClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointAdminClientTest);
  CPPUNIT_TEST(ReadsTheStatus);
  CPPUNIT_TEST(AcceptedSealReturnsTheStatus);
  CPPUNIT_TEST(RefusedSealIsNotRun);
  CPPUNIT_TEST(LostResponseIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a status call that ignores its wait time.
  void ReadsTheStatus() {
    const auto now = this->client.Status();
    CPPUNIT_ASSERT(now.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("endpoint-1"), now.value().endpoint);
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(
        this->client.Status(now.value().log_end, std::chrono::milliseconds(300))
            .has_value());
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                   std::chrono::milliseconds(300));
  }

  // Guards against losing the status in the response to a seal, whether it is a
  // nested object or not.
  void AcceptedSealReturnsTheStatus() {
    const auto status = this->client.Status().value();
    nlohmann::json flat = model::ToJson(status);
    flat["accepted"] = true;
    const nlohmann::json nested{{"accepted", true},
                                {"status", model::ToJson(status)}};
    for (const nlohmann::json& response : {flat, nested}) {
      this->RespondWith(response);
      const auto sealed = this->client.Seal(4, "vm-1");
      CPPUNIT_ASSERT(sealed.has_value());
      CPPUNIT_ASSERT(sealed.value() == status);
    }
    const auto received = this->server.Received().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/seal"), received.target);
    CPPUNIT_ASSERT(nlohmann::json::parse(received.body) ==
                   (nlohmann::json{{"term", 4}, {"promoter", "vm-1"}}));
  }

  // Guards against counting a refused seal towards the majority.
  void RefusedSealIsNotRun() {
    nlohmann::json response = model::ToJson(this->client.Status().value());
    response["accepted"] = false;
    this->RespondWith(response);
    for (const auto& result :
         {this->client.Seal(4, "vm-1"), this->client.Promote(4, "vm-1")}) {
      CPPUNIT_ASSERT(!result.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(codes::kNotAccepted),
                           result.error().code);
      CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kNotRun);
    }
  }

  // Guards against treating a lost response as a refusal.
  void LostResponseIsUnknown() {
    for (const Reply reply : {Reply::kCloseAfterReading, Reply::kSilent}) {
      this->server.SetReply(reply);
      const auto result = this->client.Seal(4, "vm-1");
      CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kUnknown);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->server.Received().size());
    this->server.StopListening();
    CPPUNIT_ASSERT(this->client.Seal(4, "vm-1").error().outcome ==
                   model::Outcome::kNotRun);
  }

 private:
  void RespondWith(const nlohmann::json& document) {
    this->server.SetResponder(
        [text = document.dump()](const testing::ReceivedRequest&) {
          return text;
        });
  }

  ScriptedServer server;
  EndpointAdminClient client{this->server.Address(), Origin{"vm-1", "dc-1"},
                             std::chrono::milliseconds(200)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointAdminClientTest);

}  // namespace
}  // namespace laburnumkeel::endpoints
