#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/transport/http_client.h"
#include "laburnumkeel/transport/http_server.h"
#include "tests/support/fixed_response_server.h"

namespace laburnumkeel::transport {
namespace {

class HttpServerStatusTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerStatusTest);
  CPPUNIT_TEST(KeepsStatusOfResponseWithoutBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a response without a body that arrives with status 200,
  // which is what ulfius sends when it is given an empty body.
  void KeepsStatusOfResponseWithoutBody() {
    for (const int status : {204, 404, 503}) {
      testing::FixedResponseServer server(HttpResponse{status, {}, ""});
      HttpClient client(server.Address(), ConnectionLimits{});
      const auto response = client.Send(HttpRequest{"GET", "/a", {}, "", {}},
                                        std::chrono::milliseconds(500));
      CPPUNIT_ASSERT(response.has_value());
      CPPUNIT_ASSERT_EQUAL(status, response.value().status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerStatusTest);

}  // namespace
}  // namespace laburnumkeel::transport
