#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/peer/generated/ControlPeer.h"
#include "laburnumkeel/peer/thrift_client.h"
#include "laburnumkeel/peer/thrift_server.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::peer {
namespace {

// Answers with the next version.
class VersionHandler : public generated::ControlPeerNull {
 public:
  void exchange(generated::PeerState& result,
                const generated::PeerState& state) override {
    result.configuration_version = state.configuration_version + 1;
  }
};

class ThriftTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThriftTest);
  CPPUNIT_TEST(ReconnectsAfterTheServerRestarts);
  CPPUNIT_TEST(ReportsAnAddressInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a client that cannot reconnect after its peer was replaced.
  void ReconnectsAfterTheServerRestarts() {
    const std::string address = testing::FreeAddress();
    ThriftClient<generated::ControlPeerClient> client(
        address, std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(!this->Exchange(client).has_value());
    for (int round = 0; round < 2; ++round) {
      ThriftServer server(address, this->Processor());
      CPPUNIT_ASSERT(server.Start());
      if (round > 0) {
        // The server of the first round has closed the client's connection.
        CPPUNIT_ASSERT(!this->Exchange(client).has_value());
      }
      const auto result = this->Exchange(client);
      CPPUNIT_ASSERT(result.has_value());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, result.value());
      server.Stop();
    }
  }

  // Guards against a program that continues to run without its server.
  void ReportsAnAddressInUse() {
    const std::string address = testing::FreeAddress();
    ThriftServer first(address, this->Processor());
    ThriftServer second(address, this->Processor());
    CPPUNIT_ASSERT(first.Start());
    CPPUNIT_ASSERT(!second.Start());
  }

 private:
  static std::shared_ptr<apache::thrift::TProcessor> Processor() {
    return std::make_shared<generated::ControlPeerProcessor>(
        std::make_shared<VersionHandler>());
  }

  static kernel::Result<std::int64_t, PeerError> Exchange(
      ThriftClient<generated::ControlPeerClient>& client) {
    return client.Run([](generated::ControlPeerClient& peer) {
      generated::PeerState state;
      state.configuration_version = 7;
      generated::PeerState result;
      peer.exchange(result, state);
      return result.configuration_version;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThriftTest);

}  // namespace
}  // namespace laburnumkeel::peer
