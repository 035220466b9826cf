#include "laburnumkeel/endpoints/transaction_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <utility>

#include "laburnumkeel/endpoints/endpoint_pool.h"
#include "tests/support/manual_clock.h"
#include "tests/support/scripted_server.h"
#include "tests/support/wait_until.h"

namespace laburnumkeel::endpoints {
namespace {

using testing::ManualClock;
using testing::Reply;
using testing::ScriptedServer;
using testing::WaitUntil;

constexpr std::chrono::milliseconds kTimeout{2000};
constexpr std::chrono::milliseconds kShortTimeout{100};

class TransactionRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransactionRegistryTest);
  CPPUNIT_TEST(CommitReturnsTheConnection);
  CPPUNIT_TEST(RefusesForeignAndForgedIds);
  CPPUNIT_TEST(RefusesAConcurrentStatement);
  CPPUNIT_TEST(LostCommitIsUnknownAndNeverSentAgain);
  CPPUNIT_TEST(RefusedCommitKeepsTheTransaction);
  CPPUNIT_TEST(UnconfirmedAbortClosesTheConnection);
  CPPUNIT_TEST(EndsAtTheTimeLimit);
  CPPUNIT_TEST(RevocationAbortsTheAccountOnly);
  CPPUNIT_TEST(RevocationInterruptsAStatement);
  CPPUNIT_TEST(RevocationLetsACommitFinish);
  CPPUNIT_TEST(RefusedBeginLeavesNoTransaction);
  CPPUNIT_TEST(ShutdownRefusesNewTransactions);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a connection that does not return to the pool after a
  // transaction, or returns before its end.
  void CommitReturnsTheConnection() {
    const std::string id = this->Begin("a");
    const std::size_t open = this->server.OpenConnections();
    CPPUNIT_ASSERT(this->Execute(id, "a", "r1").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.Count());
    CPPUNIT_ASSERT(this->registry.Commit(id, "a", "c1", kTimeout).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
    CPPUNIT_ASSERT_EQUAL(open, this->server.OpenConnections());
    ExpectRefusal(this->Execute(id, "a", "r2"), codes::kTransactionUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("r2"));
  }

  // Guards against accepting a transaction id on another VM, after a restart,
  // from another account, or if it is forged.
  void RefusesForeignAndForgedIds() {
    const std::string id = this->Begin("a");
    ExpectRefusal(this->Execute(id, "b", "r1"),
                  codes::kTransactionOfOtherAccount);
    TransactionRegistry<ManualClock> other_vm({"vm-2", "1", "secret"},
                                              this->clock);
    ExpectRefusal(other_vm.Commit(id, "a", "r2", kTimeout),
                  codes::kTransactionNotOnThisVm);
    ExpectRefusal(other_vm.Commit(id, "b", "r3", kTimeout),
                  codes::kTransactionUnknown);
    TransactionRegistry<ManualClock> restarted({"vm-1", "2", "secret"},
                                               this->clock);
    ExpectRefusal(restarted.Commit(id, "a", "r4", kTimeout),
                  codes::kTransactionUnknown);
    for (const std::string& forged :
         {id.substr(0, id.size() - 1), id + "A", std::string("a.b"),
          std::string(), id.substr(0, id.rfind('.')) + "."}) {
      ExpectRefusal(this->Execute(forged, "a", "r5"),
                    codes::kTransactionUnknown);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.Received().size());
    CPPUNIT_ASSERT(this->Execute(id, "a", "r6").has_value());
  }

  // Guards against two concurrent statements of a transaction on its
  // connection.
  void RefusesAConcurrentStatement() {
    const std::string id = this->Begin("a");
    this->server.SetReply(Reply::kLate);
    auto first = std::async(std::launch::async,
                            [&] { return this->Execute(id, "a", "r1"); });
    CPPUNIT_ASSERT(WaitUntil([&] { return this->server.CountOf("r1") == 1; }));
    ExpectRefusal(this->Execute(id, "a", "r2"), codes::kTransactionBusy);
    CPPUNIT_ASSERT(first.get().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("r2"));
  }

  // Guards against reporting `not_run` for a commit that may have taken effect,
  // and against sending the commit again on another connection.
  void LostCommitIsUnknownAndNeverSentAgain() {
    for (const Reply reply : {Reply::kCloseAfterReading, Reply::kSilent}) {
      this->server.SetReply(Reply::kComplete);
      const std::string id = this->Begin("a");
      this->server.SetReply(reply);
      const std::string commit = "c" + std::to_string(static_cast<int>(reply));
      const auto lost = this->registry.Commit(id, "a", commit, kShortTimeout);
      CPPUNIT_ASSERT(lost.error().outcome == model::Outcome::kUnknown);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->server.CountOf(commit));
      const auto again = this->registry.Commit(id, "a", "again", kTimeout);
      ExpectRefusal(again, codes::kTransactionUnknown);
      CPPUNIT_ASSERT(again.error().message.find("still holds") !=
                     std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("again"));
    }
  }

  // Guards against losing a transaction whose commit the endpoint refused
  // before execution.
  void RefusedCommitKeepsTheTransaction() {
    const std::string id = this->Begin("a");
    this->RefuseWith("c1", codes::kNoSlot);
    ExpectRefusal(this->registry.Commit(id, "a", "c1", kTimeout),
                  codes::kNoSlot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.Count());
  }

  // Guards against returning a connection with an open transaction to the pool.
  void UnconfirmedAbortClosesTheConnection() {
    const std::string id = this->Begin("a");
    this->RefuseWith("x1", codes::kNoSlot);
    ExpectRefusal(this->registry.Abort(id, "a", "x1", kTimeout),
                  codes::kNoSlot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
    this->ExpectConnectionReplaced();
  }

  // Guards against a transaction that holds a connection and its locks for
  // longer than 10 s.
  void EndsAtTheTimeLimit() {
    const std::string id = this->Begin("a");
    this->clock.Advance(std::chrono::seconds(10));
    ExpectRefusal(this->Execute(id, "a", "r1"), codes::kTransactionUnknown);
    CPPUNIT_ASSERT(WaitUntil([&] { return this->registry.Count() == 0; }));
    this->ExpectConnectionReplaced();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("r1"));
  }

  // Guards against a revocation that leaves a transaction of the account open,
  // or that aborts a transaction of another account.
  void RevocationAbortsTheAccountOnly() {
    const std::string revoked = this->Begin("a");
    const std::string other = this->Begin("b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->registry.AbortAccount("a"));
    ExpectRefusal(this->registry.Commit(revoked, "a", "c1", kTimeout),
                  codes::kTransactionUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("c1"));
    CPPUNIT_ASSERT(
        this->registry.Commit(other, "b", "c2", kTimeout).has_value());
  }

  // Guards against a revoked transaction that continues until its statement
  // ends.
  void RevocationInterruptsAStatement() {
    const std::string id = this->Begin("a");
    this->server.SetReply(Reply::kSilent);
    auto statement = std::async(std::launch::async, [&] {
      return this->registry.Execute(id, "a", Statement("r1"),
                                    std::chrono::seconds(10));
    });
    CPPUNIT_ASSERT(WaitUntil([&] { return this->server.CountOf("r1") == 1; }));
    this->registry.AbortAccount("a");
    CPPUNIT_ASSERT(statement.wait_for(std::chrono::seconds(2)) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT(statement.get().error().outcome == model::Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
  }

  // Guards against losing the outcome of a commit that was sent before the
  // revocation.
  void RevocationLetsACommitFinish() {
    const std::string id = this->Begin("a");
    this->server.SetReply(Reply::kLate);
    auto commit = std::async(std::launch::async, [&] {
      return this->registry.Commit(id, "a", "c1", kTimeout);
    });
    CPPUNIT_ASSERT(WaitUntil([&] { return this->server.CountOf("c1") == 1; }));
    this->registry.AbortAccount("a");
    CPPUNIT_ASSERT(commit.get().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
  }

  // Guards against keeping a registry entry, or losing the connection, for a
  // transaction that never began.
  void RefusedBeginLeavesNoTransaction() {
    this->RefuseWith("b1", codes::kNotPrimary);
    const auto refused =
        this->registry.Begin(Scope("a"), "b1", this->Lease("a"), kTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string(codes::kNotPrimary), refused.error().code);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->server.OpenConnections());
  }

  // Guards against beginning a transaction during a graceful shutdown, and
  // against one that stays open after it.
  void ShutdownRefusesNewTransactions() {
    const std::string id = this->Begin("a");
    this->registry.RefuseNew();
    const auto refused =
        this->registry.Begin(Scope("a"), "b1", this->Lease("a"), kTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string(codes::kTransactionsClosed),
                         refused.error().code);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->server.CountOf("b1"));
    CPPUNIT_ASSERT(this->Execute(id, "a", "r1").has_value());
    this->registry.Close();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->registry.Count());
    this->ExpectConnectionReplaced();
  }

  void setUp() override {
    CPPUNIT_ASSERT(WaitUntil([this] { return this->pool.IsWarm(); }));
  }

 private:
  static TransactionScope Scope(const std::string& account) {
    return TransactionScope{account, "service", "group", "endpoint-1", 3};
  }

  static StatementRequest Statement(const std::string& request_id) {
    return StatementRequest{request_id, StatementKind::kWrite, "PUT k v",
                            "",         std::nullopt,          0};
  }

  static void ExpectRefusal(
      const kernel::Result<StatementResult, EndpointError>& result,
      std::string_view code) {
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(code), result.error().code);
    CPPUNIT_ASSERT(result.error().outcome == model::Outcome::kNotRun);
  }

  ConnectionLease Lease(const std::string& account) {
    auto lease = this->pool.Acquire(AcquireRequest{
        account, this->clock.Now() + kTimeout, {}, LeasePurpose::kTransaction});
    CPPUNIT_ASSERT(lease.has_value());
    return std::move(lease.value());
  }

  std::string Begin(const std::string& account) {
    const auto begun = this->registry.Begin(Scope(account), "begin-" + account,
                                            this->Lease(account), kTimeout);
    CPPUNIT_ASSERT(begun.has_value());
    return begun.value().id;
  }

  kernel::Result<StatementResult, EndpointError> Execute(
      const std::string& id, const std::string& account,
      const std::string& request_id) {
    return this->registry.Execute(id, account, Statement(request_id), kTimeout);
  }

  void RefuseWith(const std::string& request_id, std::string_view code) {
    this->server.SetResponder(
        [text = R"({"request_id":")" + request_id + R"(","error":")" +
                std::string(code) +
                "\"}"](const testing::ReceivedRequest&) { return text; });
  }

  // Waits until the pool has opened a fourth connection in place of a closed
  // one.
  void ExpectConnectionReplaced() {
    CPPUNIT_ASSERT(
        WaitUntil([this] { return this->server.StatusCalls() == 4; }));
    CPPUNIT_ASSERT(this->server.MaximumOpenConnections() <= 3);
  }

  PoolSettings Settings() const {
    PoolSettings settings;
    settings.endpoint = "endpoint-1";
    settings.address = this->server.Address();
    settings.origin = Origin{"vm-1", "dc-1"};
    settings.maximum_connections = 3;
    return settings;
  }

  ManualClock clock;
  ScriptedServer server;
  EndpointPool<ManualClock> pool{this->Settings(), this->clock};
  TransactionRegistry<ManualClock> registry{{"vm-1", "1", "secret"},
                                            this->clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionRegistryTest);

}  // namespace
}  // namespace laburnumkeel::endpoints
