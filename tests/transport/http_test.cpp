#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "laburnumkeel/transport/http_client.h"
#include "laburnumkeel/transport/http_server.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::transport {
namespace {

constexpr std::chrono::milliseconds kTimeout{2000};

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(CarriesRouteQueryHeadersAndBody);
  CPPUNIT_TEST(RefusesALargeBodyWithoutCallingTheHandler);
  CPPUNIT_TEST(NothingWasSentToAClosedAddress);
  CPPUNIT_TEST(AStoppedServerMakesAKeptConnectionUnusable);
  CPPUNIT_TEST(AHandlerExceptionIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->address = testing::FreeAddress();
    this->server = std::make_unique<HttpServer>(this->address, ServerLimits{});
    this->server->AddRoute(
        "POST", "/echo/:name", [this](const HttpRequest& request) {
          ++this->calls;
          return HttpResponse{200,
                              {{"X-Header", request.Header("x-header")}},
                              request.Parameter("name") +
                                  request.Parameter("count") + request.body};
        });
    this->server->AddRoute("GET", "/throw",
                           [](const HttpRequest&) -> HttpResponse {
                             throw std::runtime_error("broken");
                           });
    CPPUNIT_ASSERT(this->server->Start());
  }

  // Guards against a part of the request that is lost on the way.
  void CarriesRouteQueryHeadersAndBody() {
    HttpClient client(this->address, ConnectionLimits{});
    const auto response = client.Send(
        HttpRequest{"POST", "/echo/a?count=2", {{"X-Header", "h"}}, "body", {}},
        kTimeout);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a2body"), response.value().body);
    CPPUNIT_ASSERT_EQUAL(std::string("h"), response.value().Header("x-header"));
  }

  // Guards against memory use by a caller and against a body cut at the limit.
  void RefusesALargeBodyWithoutCallingTheHandler() {
    HttpClient client(this->address, ConnectionLimits{});
    const auto response = client.Send(
        HttpRequest{"POST", "/echo/a", {}, std::string(70000, 'x'), {}},
        kTimeout);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(413, response.value().status);
    CPPUNIT_ASSERT_EQUAL(0, this->calls.load());
  }

  // Guards against an unknown outcome where the request provably did not run.
  void NothingWasSentToAClosedAddress() {
    const auto connection =
        HttpConnection::Open(testing::FreeAddress(), ConnectionLimits{});
    CPPUNIT_ASSERT(!connection.has_value());
    CPPUNIT_ASSERT(connection.error().stage == FailureStage::kNotSent);
  }

  // Guards against sending a request on a connection that the far end closed.
  void AStoppedServerMakesAKeptConnectionUnusable() {
    auto connection = HttpConnection::Open(this->address, ConnectionLimits{});
    CPPUNIT_ASSERT(connection.has_value());
    CPPUNIT_ASSERT(connection.value().IsUsable());
    this->server->Stop();
    CPPUNIT_ASSERT(!connection.value().IsUsable());
    const auto response = connection.value().Exchange(HttpRequest{}, kTimeout);
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error().stage == FailureStage::kNotSent);
  }

  // Guards against an exception that passes through the C library.
  void AHandlerExceptionIsAnError() {
    HttpClient client(this->address, ConnectionLimits{});
    const auto response =
        client.Send(HttpRequest{"GET", "/throw", {}, "", {}}, kTimeout);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(500, response.value().status);
  }

 private:
  std::string address;
  std::unique_ptr<HttpServer> server;
  std::atomic<int> calls = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace laburnumkeel::transport
