#include "tests/hostile/proxy_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace laburnumkeel::testing {
namespace {

class ProxyProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyProcessTest);
  CPPUNIT_TEST(ProgramThatCannotListenFailsOneTest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a program of a test that does not start: it ended the whole
  // test program, without a message.
  void ProgramThatCannotListenFailsOneTest() {
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    const tcp::acceptor taken(loop,
                              {boost::asio::ip::address_v4::loopback(), 0});
    const std::string address =
        "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
    try {
      const ProxyProcess proxy(nlohmann::json{{"client_address", address}});
    } catch (const std::runtime_error& error) {
      const std::string message = error.what();
      CPPUNIT_ASSERT_MESSAGE(
          message, message.find("cannot listen") != std::string::npos);
      return;
    }
    CPPUNIT_FAIL("the program serves clients at an address that is taken");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyProcessTest);

}  // namespace
}  // namespace laburnumkeel::testing
