#include "laburnumkeel/platform/commit_with_read_back.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "tests/support/fake_table.h"

namespace laburnumkeel::platform {
namespace {

using testing::FakeTable;

// Table whose first commit is replaced by a function of the test.
class ScriptedTable {
 public:
  using FirstCommit =
      std::function<kernel::Result<TransactionResult, PlatformError>(
          FakeTable&, const TableTransaction&)>;

  ScriptedTable(FakeTable table, FirstCommit first_commit)
      : table(std::move(table)), first_commit(std::move(first_commit)) {}

  kernel::Result<TableRow, PlatformError> Read(const std::string& key) {
    return this->table.Read(key);
  }

  kernel::Result<TransactionResult, PlatformError> Commit(
      const TableTransaction& transaction) {
    return this->commits++ == 0 ? this->first_commit(this->table, transaction)
                                : this->table.Commit(transaction);
  }

 private:
  FakeTable table;
  FirstCommit first_commit;
  int commits = 0;
};

const PlatformError kLost{PlatformFailure::kUnknown, "lost"};
const TableTransaction kOwn{"own", {{"k", 0}}, {{"k", "own"}}};

class CommitWithReadBackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitWithReadBackTest);
  CPPUNIT_TEST(DetectsOwnCommitAfterLostResponse);
  CPPUNIT_TEST(CommitsOnceAfterLostRequest);
  CPPUNIT_TEST(DetectsCompetingCommit);
  CPPUNIT_TEST(LaterChangeLeavesOutcomeUnknown);
  CPPUNIT_TEST(FailedReadBackLeavesOutcomeUnknown);
  CPPUNIT_TEST(ConflictAndOutageAreNotCommitted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an accepted change that is reported as failed.
  void DetectsOwnCommitAfterLostResponse() {
    this->Expect(CommitOutcome::kCommitted,
                 [](FakeTable& table, const TableTransaction& transaction)
                     -> kernel::Result<TransactionResult, PlatformError> {
                   (void)table.Commit(transaction);
                   return kLost;
                 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->table.Read("k").value().version);
  }

  // Guards against applying a transaction twice: its first request, presumed
  // lost, may still be in transit and arrive after the second attempt.
  void CommitsOnceAfterLostRequest() {
    this->Expect(CommitOutcome::kCommitted,
                 [](FakeTable&, const TableTransaction&)
                     -> kernel::Result<TransactionResult, PlatformError> {
                   return kLost;
                 });
    CPPUNIT_ASSERT(!this->table.Commit(kOwn).value().committed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->table.Read("k").value().version);
  }

  // Guards against mistaking another transaction for this one.
  void DetectsCompetingCommit() {
    this->Expect(CommitOutcome::kNotCommitted,
                 [](FakeTable& table, const TableTransaction&)
                     -> kernel::Result<TransactionResult, PlatformError> {
                   (void)table.Commit({"other", {{"k", 0}}, {{"k", "other"}}});
                   return kLost;
                 });
  }

  // Guards against guessing the outcome when a later change has replaced the
  // row version that would show it.
  void LaterChangeLeavesOutcomeUnknown() {
    this->Expect(CommitOutcome::kUnknown,
                 [](FakeTable& table, const TableTransaction& transaction)
                     -> kernel::Result<TransactionResult, PlatformError> {
                   (void)table.Commit(transaction);
                   (void)table.Commit({"other", {{"k", 1}}, {{"k", "other"}}});
                   return kLost;
                 });
  }

  // Guards against treating a failed read-back as a definite outcome.
  void FailedReadBackLeavesOutcomeUnknown() {
    this->Expect(CommitOutcome::kUnknown,
                 [](FakeTable& table, const TableTransaction& transaction)
                     -> kernel::Result<TransactionResult, PlatformError> {
                   (void)table.Commit(transaction);
                   table.SetFault(testing::TableFault::kDown);
                   return kLost;
                 });
  }

  // Guards against a definite failure that is reported as unknown.
  void ConflictAndOutageAreNotCommitted() {
    (void)this->table.Commit({"other", {{"k", 0}}, {{"k", "other"}}});
    CPPUNIT_ASSERT(CommitWithReadBack(this->table, kOwn).outcome ==
                   CommitOutcome::kNotCommitted);
    this->table.SetFault(testing::TableFault::kDown);
    const CommitReport report = CommitWithReadBack(this->table, kOwn);
    CPPUNIT_ASSERT(report.outcome == CommitOutcome::kNotCommitted);
    CPPUNIT_ASSERT(report.store_unavailable);
  }

 private:
  void Expect(CommitOutcome outcome, ScriptedTable::FirstCommit first_commit) {
    ScriptedTable scripted(this->table, std::move(first_commit));
    CPPUNIT_ASSERT(CommitWithReadBack(scripted, kOwn).outcome == outcome);
  }

  FakeTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommitWithReadBackTest);

}  // namespace
}  // namespace laburnumkeel::platform
