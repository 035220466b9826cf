#include "programs/laburnumkeel-proxy/client_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

namespace laburnumkeel::proxy {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// A session and the client's end of its connection on loopback.
class ClientSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientSessionTest);
  CPPUNIT_TEST(MalformedLineEndsTheSession);
  CPPUNIT_TEST(StatementBeforeStartupEndsTheSession);
  CPPUNIT_TEST(SecondStartupEndsTheSession);
  CPPUNIT_TEST(LineThatIsTooLongEndsTheSession);
  CPPUNIT_TEST(UnknownStatementKeepsTheSession);
  CPPUNIT_TEST(DismissedSessionRunsNothingMore);
  CPPUNIT_TEST(AbortedTransactionFailsItsNextStatement);
  CPPUNIT_TEST(WithdrawnKeyEndsAnOpenTransaction);
  CPPUNIT_TEST(ChangedRouteAppliesFromTheNextTransaction);
  CPPUNIT_TEST(SessionStateIsLimited);
  CPPUNIT_TEST(StatementWithoutMemoryIsRefused);
  CPPUNIT_TEST(EvictedClientIsTold);
  CPPUNIT_TEST(StatementUnderWayIsPromisedNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->context =
        std::make_unique<ProxyContext>(platform_adapter::ProxySettings());
    auto configuration = std::make_shared<model::ProxyConfiguration>();
    configuration->routes["db"].service = "s";
    configuration->accounts["acc"] = {"acc", 100, 100, {}};
    configuration->account_of_key["key"] = "acc";
    this->context->configuration = configuration;
    this->gate = std::make_unique<AccountGate>(*this->context, [] {});
    this->pool = std::make_unique<ServicePool>(*this->context, "s");
    this->environment.reset(new SessionEnvironment{
        *this->context,
        [this](const std::string&) -> ServicePool& { return *this->pool; },
        *this->gate});
    tcp::acceptor acceptor(
        this->context->loop,
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    this->client = std::make_unique<tcp::socket>(this->context->loop);
    this->client->connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    accepted.non_blocking(true);
    this->client->non_blocking(true);
    this->session = std::make_shared<ClientSession>(
        *this->environment, std::move(accepted),
        [this](ClientSession&) { this->has_ended = true; });
    this->session->Start();
  }

  void tearDown() override {
    this->session.reset();
    this->client.reset();
    this->pool.reset();
    this->gate.reset();
    this->environment.reset();
    this->context.reset();
  }

  void MalformedLineEndsTheSession() {
    this->Send("STARTUP db key\r\nGARBAGE\r\n");
    this->AssertRejected();
  }

  // Guards against a statement that runs for an unauthenticated client.
  void StatementBeforeStartupEndsTheSession() {
    this->Send("QUERY 1 READ a\r\n");
    this->AssertRejected();
  }

  // Guards against a client that changes the account of an open session.
  void SecondStartupEndsTheSession() {
    this->Send("STARTUP db key\r\nSTARTUP db other\r\n");
    this->AssertRejected();
  }

  // Guards against a client that exhausts memory with a single line.
  void LineThatIsTooLongEndsTheSession() {
    this->Send("STARTUP db key\r\n");
    const std::string part(std::size_t{1} << 18, 'x');
    for (int sent = 0; sent < 5 && !this->has_ended; ++sent) {
      this->Send(part);
    }
    // The session may not have read all of it yet.
    for (int poll = 0; poll < 500 && !this->has_ended; ++poll) {
      this->Poll();
    }
    CPPUNIT_ASSERT(this->has_ended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->RejectedLines());
  }

  void UnknownStatementKeepsTheSession() {
    this->Send("STARTUP db key\r\nQUERY 1 EXPLAIN a\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR MALFORMED") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!this->has_ended);
  }

  // Guards against a statement that runs although the client was told that the
  // session must move to another VM.
  void DismissedSessionRunsNothingMore() {
    this->Send("STARTUP db key\r\n");
    this->session->Dismiss();
    this->Send("QUERY 1 WRITE a b\r\n");
    CPPUNIT_ASSERT(this->has_ended);
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR OVERLOAD") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!this->pool->HasWork());
  }

  // Guards against a transaction that continues after it was aborted.
  void AbortedTransactionFailsItsNextStatement() {
    this->Grant();
    this->Send("STARTUP db key\r\nQUERY 1 BEGIN\r\n");
    CPPUNIT_ASSERT(this->session->IsIdleInTransaction());
    this->session->AbortTransaction("idle");
    this->TakeReceived();
    this->Send("QUERY 2 WRITE a b\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR MALFORMED") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!this->pool->HasWork());
    this->Send("QUERY 3 COMMIT\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR ABORTED") !=
                   std::string::npos);
  }

  // Guards against a key that works for as long as a transaction stays open.
  void WithdrawnKeyEndsAnOpenTransaction() {
    this->Grant();
    this->Send("STARTUP db key\r\nQUERY 1 BEGIN\r\n");
    CPPUNIT_ASSERT(this->session->IsIdleInTransaction());
    this->Change([](model::ProxyConfiguration& configuration) {
      configuration.account_of_key.erase("key");
    });
    this->TakeReceived();
    this->Send("QUERY 2 WRITE a b\r\n");
    CPPUNIT_ASSERT(!this->pool->HasWork());
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR DENIED") !=
                   std::string::npos);
    this->Send("QUERY 3 COMMIT\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR ABORTED") !=
                   std::string::npos);
  }

  // Guards against a transaction that is ended by a change of its route.
  void ChangedRouteAppliesFromTheNextTransaction() {
    this->Grant();
    this->Send("STARTUP db key\r\nQUERY 1 BEGIN\r\n");
    this->Change([](model::ProxyConfiguration& configuration) {
      configuration.routes.erase("db");
    });
    this->TakeReceived();
    this->Send("QUERY 2 WRITE a b\r\n");
    CPPUNIT_ASSERT(this->pool->HasWork());
  }

  // Guards against a client whose values take all memory.
  void SessionStateIsLimited() {
    admission::ClientLimits limits = this->context->clients.Limits();
    limits.session_state_bytes = 2000;
    this->context->clients.SetLimits(limits);
    this->Send("STARTUP db key\r\nQUERY 1 SET a " + std::string(1000, 'x') +
               "\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR") == std::string::npos);
    this->Send("QUERY 2 SET b " + std::string(1000, 'x') + "\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR OVERLOAD") !=
                   std::string::npos);
    // A value that replaces another one needs no room.
    this->Send("QUERY 3 SET a " + std::string(1000, 'y') + "\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR") == std::string::npos);
    CPPUNIT_ASSERT(!this->has_ended);
  }

  void StatementWithoutMemoryIsRefused() {
    this->Send("STARTUP db key\r\n");
    this->TakeReceived();
    admission::ClientLimits limits = this->context->clients.Limits();
    limits.memory_bytes = this->context->clients.Memory().Used() + 1000;
    this->context->clients.SetLimits(limits);
    this->Send("QUERY 1 WRITE a b\r\n");
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR OVERLOAD") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!this->has_ended);
    CPPUNIT_ASSERT(!this->pool->HasWork());
  }

  void EvictedClientIsTold() {
    this->Send("STARTUP db key\r\n");
    this->TakeReceived();
    this->session->Evict("the connection is needed for others");
    CPPUNIT_ASSERT(this->has_ended);
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR OVERLOAD") !=
                   std::string::npos);
  }

  // Guards against a promise that a statement has not run while it may run.
  void StatementUnderWayIsPromisedNothing() {
    this->Grant();
    this->Send("STARTUP db key\r\nQUERY 1 WRITE a b\r\n");
    CPPUNIT_ASSERT(this->session->Load().is_at_database);
    this->TakeReceived();
    this->session->Evict("the clients' memory is used up");
    CPPUNIT_ASSERT(this->has_ended);
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR") == std::string::npos);
  }

 private:
  // Replaces the configuration by a changed copy.
  void Change(const std::function<void(model::ProxyConfiguration&)>& change) {
    auto changed = std::make_shared<model::ProxyConfiguration>(
        *this->context->configuration);
    change(*changed);
    this->context->configuration = changed;
  }

  // Grants the account one operation.
  void Grant() {
    this->gate->OnGrant("acc", {{}, 1, false}, this->context->clock.Now());
  }

  void Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size() && !this->has_ended) {
      boost::system::error_code error;
      sent += this->client->write_some(
          boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
      this->Poll();
    }
  }

  // Returns everything that arrived since the last call.
  std::string TakeReceived() {
    this->Poll();
    std::string received(std::size_t{1} << 12, '\0');
    boost::system::error_code error;
    received.resize(
        this->client->read_some(boost::asio::buffer(received), error));
    return received;
  }

  void Poll() {
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(4));
  }

  std::uint64_t RejectedLines() const {
    return this->context->metrics.Counter("client_lines_rejected");
  }

  void AssertRejected() {
    CPPUNIT_ASSERT(this->has_ended);
    CPPUNIT_ASSERT(this->TakeReceived().find("ERROR MALFORMED") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->RejectedLines());
    CPPUNIT_ASSERT(!this->pool->HasWork());
  }

  std::unique_ptr<ProxyContext> context;
  std::unique_ptr<AccountGate> gate;
  std::unique_ptr<ServicePool> pool;
  std::unique_ptr<SessionEnvironment> environment;
  std::unique_ptr<tcp::socket> client;
  std::shared_ptr<ClientSession> session;
  bool has_ended = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientSessionTest);

}  // namespace
}  // namespace laburnumkeel::proxy
