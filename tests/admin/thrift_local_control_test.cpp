#include "programs/laburnumkeel-admin/thrift_local_control.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <thread>

#include "laburnumkeel/peer/generated/LocalControl.h"
#include "tests/support/fixed_response_server.h"

namespace laburnumkeel::admin {
namespace {

using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TBufferedTransportFactory;
using apache::thrift::transport::TServerSocket;

// Returns the arguments of each request in its response.
class EchoHandler : public peer::generated::LocalControlNull {
 public:
  void submitConfiguration(peer::generated::SubmitResult& result,
                           const std::string& document,
                           std::int64_t base_version,
                           const std::string& operation_id) override {
    if (document == "slow") {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
    }
    result.result = "invalid";
    result.version = base_version + 1;
    result.faults = {document, operation_id};
  }
  void fleetStatus(std::vector<peer::generated::VmStatus>& result) override {
    result.emplace_back();
    result.back().vm = "vm1";
    result.back().age_ms = 12;
  }
};

class ThriftLocalControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThriftLocalControlTest);
  CPPUNIT_TEST(PassesValues);
  CPPUNIT_TEST(TimeoutMayHaveRun);
  CPPUNIT_TEST(RefusedConnectionDidNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const std::string address = testing::FreeAddress();
    const int port = std::stoi(address.substr(address.rfind(':') + 1));
    this->server = std::make_unique<TThreadedServer>(
        std::make_shared<peer::generated::LocalControlProcessor>(
            std::make_shared<EchoHandler>()),
        std::make_shared<TServerSocket>("127.0.0.1", port),
        std::make_shared<TBufferedTransportFactory>(),
        std::make_shared<TBinaryProtocolFactory>());
    this->thread = std::thread([this] { this->server->serve(); });
    this->control = std::make_unique<ThriftLocalControl>(
        address, std::chrono::milliseconds(200));
    // Waits until the server accepts connections.
    for (int attempt = 0; attempt < 100; ++attempt) {
      if (this->control->CurrentConfiguration().has_value()) {
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  void tearDown() override {
    this->server->stop();
    this->thread.join();
  }

  // Guards against fields that are swapped during conversion.
  void PassesValues() {
    const auto submission =
        this->control->SubmitConfiguration("document", 6, "operation");
    CPPUNIT_ASSERT(submission.has_value());
    const Submission expected{"invalid", 7, {"document", "operation"}};
    CPPUNIT_ASSERT(submission.value() == expected);
    const auto fleet = this->control->FleetStatus();
    CPPUNIT_ASSERT(fleet.has_value());
    const FleetMember member{"vm1", "", std::chrono::milliseconds(12), 0,
                             false};
    CPPUNIT_ASSERT(fleet.value() == std::vector<FleetMember>{member});
  }

  // Guards against a change that is reported as failed although it may have
  // been made: the request was sent and the response timed out.
  void TimeoutMayHaveRun() {
    const auto submission =
        this->control->SubmitConfiguration("slow", 6, "operation");
    CPPUNIT_ASSERT(!submission.has_value());
    CPPUNIT_ASSERT(submission.error().may_have_run);
  }

  // Guards against an unknown result although no request was sent.
  void RefusedConnectionDidNotRun() {
    ThriftLocalControl unreachable(testing::FreeAddress(),
                                   std::chrono::milliseconds(200));
    const auto submission = unreachable.SubmitConfiguration("d", 6, "o");
    CPPUNIT_ASSERT(!submission.has_value());
    CPPUNIT_ASSERT(!submission.error().may_have_run);
  }

 private:
  std::unique_ptr<TThreadedServer> server;
  std::thread thread;
  std::unique_ptr<ThriftLocalControl> control;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThriftLocalControlTest);

}  // namespace
}  // namespace laburnumkeel::admin
