#include "standins/standin-endpoint/database.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace laburnumkeel::standins {
namespace {

using model::LogPosition;
using std::chrono::milliseconds;

constexpr milliseconds kLag{150};
constexpr std::int64_t kOneHourMs = 3600000;

Statement Parsed(const std::string& text) {
  const auto statement = ParseStatement(text);
  CPPUNIT_ASSERT_MESSAGE(text, statement.has_value());
  return *statement;
}

void AssertRefused(Refusal expected, const Database::Response& response) {
  CPPUNIT_ASSERT(!response.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string(ToString(expected)),
                       std::string(ToString(response.error())));
}

std::string Text(const Database::Response& response) {
  CPPUNIT_ASSERT(response.has_value());
  return response.value().text.value_or("(absent)");
}

class DatabaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseTest);
  CPPUNIT_TEST(ExecutesWritesOnlyInItsTerm);
  CPPUNIT_TEST(AcceptsOnePromoterPerTerm);
  CPPUNIT_TEST(TakesOnePrimaryPerTerm);
  CPPUNIT_TEST(RepeatsFirstResultAfterPromotion);
  CPPUNIT_TEST(FormerPrimaryDropsItsTail);
  CPPUNIT_TEST(TransactionSeesItsWritesAndCommitsOneEntry);
  CPPUNIT_TEST(CommitRefusesConflict);
  CPPUNIT_TEST(DrainRefusesNewWritesForItsTime);
  CPPUNIT_TEST(ReplicaAppliesAfterLag);
  CPPUNIT_TEST(StatusWaitEndsOnChange);
  CPPUNIT_TEST(ParsesStatements);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { this->primary.BeginFirstTerm(); }

  // Guards against a write on a former primary or in another term (I2).
  void ExecutesWritesOnlyInItsTerm() {
    AssertRefused(Refusal::kNotPrimary, this->Put(this->replica, 0));
    AssertRefused(Refusal::kNotPrimary, this->Put(this->primary, 2));
    CPPUNIT_ASSERT(this->Put(this->primary, 1).has_value());
    CPPUNIT_ASSERT(this->primary.Seal(2, "p"));
    AssertRefused(Refusal::kStaleTerm, this->Put(this->primary, 1));
    AssertRefused(Refusal::kNotPrimary, this->Put(this->primary, 2));
    CPPUNIT_ASSERT(!this->primary.Replicate(Replication{1, {}, {}, 0}, {}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         this->primary.Status().log_end.position);
  }

  // Guards against two promoters that both seal a majority in one term.
  void AcceptsOnePromoterPerTerm() {
    // A term that was joined through replication belongs to its promoter.
    this->Transfer();
    CPPUNIT_ASSERT(!this->replica.Seal(1, "q"));
    CPPUNIT_ASSERT(this->replica.Seal(2, "p"));
    CPPUNIT_ASSERT(this->replica.Seal(2, "p"));
    CPPUNIT_ASSERT(!this->replica.Seal(2, "q"));
    CPPUNIT_ASSERT(!this->replica.Seal(1, "p"));
    CPPUNIT_ASSERT(!this->replica.Promote(2, "q"));
    CPPUNIT_ASSERT(!this->replica.Promote(3, "p"));
  }

  // Guards against a second primary or a second term start after a repeated
  // request.
  void TakesOnePrimaryPerTerm() {
    CPPUNIT_ASSERT(this->replica.Seal(2, "p"));
    CPPUNIT_ASSERT(this->replica.Promote(2, "p"));
    CPPUNIT_ASSERT(this->replica.Promote(2, "p"));
    CPPUNIT_ASSERT(this->replica.Status().log_end == (LogPosition{2, 1}));
    CPPUNIT_ASSERT(this->primary.Seal(2, "p"));
    CPPUNIT_ASSERT(this->primary.Replicate(*this->replica.EntriesAfter(0), {}));
    CPPUNIT_ASSERT(!this->primary.Promote(2, "p"));
  }

  // Guards against a second execution of a repeated write (I11), also on the
  // next primary.
  void RepeatsFirstResultAfterPromotion() {
    const Statement add = Parsed("ADD k 5");
    CPPUNIT_ASSERT_EQUAL(std::string("5"),
                         Text(this->primary.Write(1, add, "id")));
    CPPUNIT_ASSERT_EQUAL(std::string("10"),
                         Text(this->primary.Write(1, add, "other")));
    const auto repeated = this->primary.Write(1, add, "id");
    CPPUNIT_ASSERT_EQUAL(std::string("5"), Text(repeated));
    CPPUNIT_ASSERT(repeated.value().repeated);
    this->Transfer();
    this->replica.Seal(2, "p");
    this->replica.Promote(2, "p");
    const auto later = this->replica.Write(2, add, "id");
    CPPUNIT_ASSERT_EQUAL(std::string("5"), Text(later));
    // The end of the new term, which a majority can confirm.
    CPPUNIT_ASSERT(later.value().at == (LogPosition{2, 4}));
  }

  // Guards against reads of writes that the group has lost.
  void FormerPrimaryDropsItsTail() {
    this->Transfer();
    CPPUNIT_ASSERT(this->Put(this->primary, 1).has_value());
    this->replica.Seal(2, "p");
    this->replica.Promote(2, "p");
    CPPUNIT_ASSERT(this->primary.Replicate(*this->replica.EntriesAfter(1), {}));
    const model::EndpointStatus status = this->primary.Status();
    CPPUNIT_ASSERT(status.role == model::EndpointRole::kReplica);
    CPPUNIT_ASSERT(status.log_end == (LogPosition{2, 2}));
    const auto read = this->primary.Read(Parsed("GET k"));
    CPPUNIT_ASSERT_EQUAL(std::string("(absent)"), Text(read));
    CPPUNIT_ASSERT(read.value().at == (LogPosition{2, 2}));
  }

  // Guards against writes of a transaction that others see before the commit.
  void TransactionSeesItsWritesAndCommitsOneEntry() {
    Transaction transaction(1);
    CPPUNIT_ASSERT(
        this->primary.RunInTransaction(transaction, 1, Parsed("PUT a 1"))
            .has_value());
    CPPUNIT_ASSERT(
        this->primary.RunInTransaction(transaction, 1, Parsed("ADD a 2"))
            .has_value());
    CPPUNIT_ASSERT(
        this->primary.RunInTransaction(transaction, 1, Parsed("PUT b 7"))
            .has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("3"),
        Text(this->primary.RunInTransaction(transaction, 1, Parsed("GET a"))));
    CPPUNIT_ASSERT_EQUAL(std::string("(absent)"),
                         Text(this->primary.Read(Parsed("GET a"))));
    const auto committed = this->primary.Commit(transaction, 1);
    CPPUNIT_ASSERT(committed.value().at == (LogPosition{1, 2}));
    CPPUNIT_ASSERT_EQUAL(std::string("7"),
                         Text(this->primary.Read(Parsed("GET b"))));
  }

  // Guards against a lost update between two transactions (I3).
  void CommitRefusesConflict() {
    Transaction first(1);
    Transaction second(1);
    CPPUNIT_ASSERT(this->primary.RunInTransaction(first, 1, Parsed("ADD k 1"))
                       .has_value());
    CPPUNIT_ASSERT(this->primary.RunInTransaction(second, 1, Parsed("ADD k 1"))
                       .has_value());
    CPPUNIT_ASSERT(this->primary.Commit(first, 1).has_value());
    AssertRefused(Refusal::kConflict, this->primary.Commit(second, 1));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         Text(this->primary.Read(Parsed("GET k"))));
  }

  // Guards against log entries that the target of a planned promotion misses.
  void DrainRefusesNewWritesForItsTime() {
    Transaction open(1);
    CPPUNIT_ASSERT(
        this->primary.RunInTransaction(open, 1, Parsed("PUT a 1")).has_value());
    this->primary.Drain(milliseconds(300));
    AssertRefused(Refusal::kDraining, this->Put(this->primary, 1));
    AssertRefused(Refusal::kDraining, this->primary.Begin(1));
    AssertRefused(Refusal::kDraining, this->primary.Commit(open, 1));
    CPPUNIT_ASSERT(this->primary.Read(Parsed("GET k")).has_value());
    std::this_thread::sleep_for(milliseconds(310));
    CPPUNIT_ASSERT(this->primary.Commit(open, 1).has_value());
  }

  // Guards against a replica that hides its lag.
  void ReplicaAppliesAfterLag() {
    CPPUNIT_ASSERT(this->replica.Status().staleness_ms > kOneHourMs);
    CPPUNIT_ASSERT(this->Put(this->primary, 1).has_value());
    this->Transfer();
    CPPUNIT_ASSERT(this->replica.Status().log_end == (LogPosition{1, 2}));
    CPPUNIT_ASSERT(this->replica.Read(Parsed("GET k")).value().at ==
                   LogPosition{});
    std::this_thread::sleep_for(kLag);
    const auto read = this->replica.Read(Parsed("GET k"));
    CPPUNIT_ASSERT_EQUAL(std::string("v"), Text(read));
    CPPUNIT_ASSERT(read.value().at == (LogPosition{1, 2}));
    const std::int64_t staleness = this->replica.Status().staleness_ms;
    CPPUNIT_ASSERT(staleness >= kLag.count());
    CPPUNIT_ASSERT(staleness < kOneHourMs);
  }

  // Guards against confirmations that arrive only after the whole wait.
  void StatusWaitEndsOnChange() {
    const auto begin = std::chrono::steady_clock::now();
    bool written = false;
    std::thread writer([this, &written] {
      std::this_thread::sleep_for(milliseconds(20));
      written = this->Put(this->primary, 1).has_value();
    });
    const auto status =
        this->primary.WaitForChange(LogPosition{1, 1}, milliseconds(3000));
    writer.join();
    CPPUNIT_ASSERT(written);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, status.log_end.position);
    this->primary.Seal(2, "p");
    this->primary.WaitForChange(LogPosition{1, 2}, milliseconds(3000));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin <
                   milliseconds(2000));
  }

  // Guards against a malformed statement that is executed in part.
  void ParsesStatements() {
    CPPUNIT_ASSERT(Parsed("PUT k a b") ==
                   (Statement{StatementKind::kPut, "k", "a b", 0}));
    CPPUNIT_ASSERT(Parsed("ADD k -3") ==
                   (Statement{StatementKind::kAdd, "k", "", -3}));
    for (const char* text : {"", "GET", "GET k v", "PUT k", "ADD k", "ADD k x",
                             "ADD k 1 2", "DROP k", "get k"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseStatement(text).has_value());
    }
    CPPUNIT_ASSERT(this->Put(this->primary, 1).has_value());
    AssertRefused(Refusal::kBadStatement,
                  this->primary.Write(1, Parsed("ADD k 1"), ""));
  }

 private:
  Database::Response Put(Database& database, model::Term term) {
    return database.Write(term, Parsed("PUT k v"), "");
  }

  // Replicates the log of the first primary.
  void Transfer() {
    CPPUNIT_ASSERT(this->replica.Replicate(*this->primary.EntriesAfter(0), {}));
  }

  Database primary{DatabaseOptions{"db1", "g", milliseconds(0)}};
  Database replica{DatabaseOptions{"db2", "g", kLag}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseTest);

}  // namespace
}  // namespace laburnumkeel::standins
