#include "programs/laburnumkeel-proxy/service_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tests/support/service_pool_fixture.h"

namespace laburnumkeel::proxy {
namespace {

using testing::FakeDatabase;

class ServicePoolTest : public testing::ServicePoolFixture {
  CPPUNIT_TEST_SUITE(ServicePoolTest);
  CPPUNIT_TEST(LostReplyToAWriteIsUnknown);
  CPPUNIT_TEST(RefusedWriteIsSentAgain);
  CPPUNIT_TEST(BusyPrimaryIsRetriedOnTheSameConnection);
  CPPUNIT_TEST(BusyPrimaryIsRetriedWithBackoff);
  CPPUNIT_TEST(BusyEndpointDoesNotEndATransaction);
  CPPUNIT_TEST(FailedWriteIsNotSentAgain);
  CPPUNIT_TEST(LostReplyToAReadIsRetriedElsewhere);
  CPPUNIT_TEST(StrictReadNeedsAReadLease);
  CPPUNIT_TEST(ReadLeaseIsCheckedAgainBeforeSending);
  CPPUNIT_TEST(StaleReadCarriesItsPosition);
  CPPUNIT_TEST(ReadWithoutAPositionIsNotSent);
  CPPUNIT_TEST(SessionReadsItsOwnCommit);
  CPPUNIT_TEST(AccountsDoNotShareAConnection);
  CPPUNIT_TEST(TransactionKeepsItsConnection);
  CPPUNIT_TEST(StatementIsNotSentUnlessTheTransactionBegan);
  CPPUNIT_TEST(LostCommitIsUnknown);
  CPPUNIT_TEST(LostTransactionIsAborted);
  CPPUNIT_TEST(TimedOutStatementClosesItsConnection);
  CPPUNIT_TEST(StatementThatCannotBeServedInTimeIsRefused);
  CPPUNIT_TEST(AllowedRegionsAreRespected);
  CPPUNIT_TEST(SuccessfulWriteIsACommittedPosition);
  CPPUNIT_TEST(CommitAtAFormerPrimaryIsUnknown);
  CPPUNIT_TEST(CommitAtALostPrimaryIsUnknown);
  CPPUNIT_TEST(SampleOfAStatementThatIsSentAgainIsAsOldAsItsReadLease);
  CPPUNIT_TEST(StatementIsNotSentAgainAfterItsDeadline);
  CPPUNIT_TEST(OnlyCommitsOfThePublishedTermCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a write that runs twice, and against reporting success or
  // failure of a write whose outcome is unknown.
  void LostReplyToAWriteIsUnknown() {
    this->primary->SetScript(
        [](std::string_view) { return FakeDatabase::kReset; });
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(!result.reply && result.error == ErrorCode::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("WRITE"));
  }

  void RefusedWriteIsSentAgain() {
    this->primary->SetScript([this](std::string_view line) -> std::string {
      return this->primary->Count("WRITE") == 1
                 ? "ERROR BUSY full\r\nREADY I 1.5\r\n"
                 : this->primary->Succeed(line);
    });
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(result.reply && result.reply->signature);
    CPPUNIT_ASSERT_EQUAL(2, this->primary->Count("QUERY id WRITE 1 data"));
  }

  // Load pattern: more writes than the primary's slots can run. Guards against
  // a new connection for each attempt, which itself occupies a slot.
  void BusyPrimaryIsRetriedOnTheSameConnection() {
    auto configuration = std::make_shared<model::ProxyConfiguration>(
        *this->context->configuration);
    configuration->services["s"] = {"s", 1, 0};
    this->context->configuration = configuration;
    this->context->vm_count = 5;
    this->RefuseAsBusy("WRITE", 3);
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(result.reply && result.reply->signature);
    CPPUNIT_ASSERT_EQUAL(4, this->primary->Count("WRITE 1 data"));
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Connections());
  }

  // Guards against statements that use up their attempts, and load the primary,
  // within a small part of their time limit.
  void BusyPrimaryIsRetriedWithBackoff() {
    this->RefuseAsBusy("WRITE", 1000);
    const kernel::Instant started = this->context->clock.Now();
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(this->context->clock.Now() >= started + milliseconds(500));
    CPPUNIT_ASSERT(ErrorOf(result) == ErrorCode::kBusy);
    CPPUNIT_ASSERT(this->primary->Count("WRITE 1 data") >= 5);
    CPPUNIT_ASSERT(this->primary->Count("WRITE 1 data") <= 12);
  }

  // Guards against a transaction that fails because one of its statements was
  // refused by an endpoint with a full queue.
  void BusyEndpointDoesNotEndATransaction() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    this->RefuseAsBusy("WRITE", 2);
    const JobResult written = this->RunPinned(this->Write(), begun.connection);
    CPPUNIT_ASSERT(written.reply && written.reply->signature);
    CPPUNIT_ASSERT(written.connection == begun.connection);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("BEGIN"));
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("ROLLBACK"));
  }

  // Guards against resending a write that may have run before it failed.
  void FailedWriteIsNotSentAgain() {
    this->primary->SetScript([](std::string_view) {
      return "ERROR FAILED disk\r\nREADY I 1.5\r\n";
    });
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(ErrorOf(result) == ErrorCode::kFailed);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("WRITE"));
  }

  void LostReplyToAReadIsRetriedElsewhere() {
    this->RenewReadLease();
    this->AddSample();
    this->replica->SetScript(
        [](std::string_view) { return FakeDatabase::kReset; });
    const JobResult result = this->Run(this->Read());
    CPPUNIT_ASSERT(result.reply && result.reply->signature);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), result.endpoint_id);
  }

  // Guards against reading from a former primary that still replies.
  void StrictReadNeedsAReadLease() {
    const JobPointer job = this->StrictRead();
    const JobResult result = this->Run(job);
    CPPUNIT_ASSERT(result.error == ErrorCode::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("READ"));
    this->RenewReadLease();
    CPPUNIT_ASSERT(this->Run(this->StrictRead()).reply.has_value());
  }

  // Guards against using a read lease that expires while the connection is
  // being opened, as on a VM that was suspended.
  void ReadLeaseIsCheckedAgainBeforeSending() {
    this->RenewReadLease();
    const JobPointer job = this->StrictRead();
    std::optional<JobResult> result = this->Submit(job);
    this->context->clock.Advance(routing::PrimaryTable::kReadLeaseLifetime);
    this->Poll();
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("READ"));
    this->RunUntilFinished(job);
  }

  // Guards against a read from a replica that is staler than the route's bound.
  void StaleReadCarriesItsPosition() {
    this->AddSample();
    this->Run(this->Read());
    CPPUNIT_ASSERT_EQUAL(1, this->replica->Count("WAITLSN 1.4 READ 1"));
  }

  void ReadWithoutAPositionIsNotSent() {
    this->AddSample();
    this->context->clock.Advance(std::chrono::seconds(3));
    const JobResult result = this->Run(this->Read());
    CPPUNIT_ASSERT(result.error == ErrorCode::kBusy);
    CPPUNIT_ASSERT_EQUAL(0, this->replica->Count("READ"));
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("READ"));
  }

  void SessionReadsItsOwnCommit() {
    this->AddSample();
    const JobPointer job = this->Read();
    job->session_position = model::LogPosition{1, 9};
    job->session_committed = this->context->clock.Now();
    this->Run(job);
    CPPUNIT_ASSERT_EQUAL(1, this->replica->Count("WAITLSN 1.9 READ 1"));
  }

  // Guards against running a statement under another account.
  void AccountsDoNotShareAConnection() {
    this->AddSample();
    this->Run(this->Read());
    const JobPointer other = this->Read();
    other->account = "other";
    this->Run(other);
    CPPUNIT_ASSERT_EQUAL(1, this->replica->Count("STARTUP s acc r"));
    CPPUNIT_ASSERT_EQUAL(1, this->replica->Count("STARTUP s other r"));
    for (const auto& [connection, line] : this->replica->Lines()) {
      CPPUNIT_ASSERT(connection < 2);
    }
  }

  // Guards against a transaction that continues on another connection, and
  // against another client's statement on the transaction's connection.
  void TransactionKeepsItsConnection() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    CPPUNIT_ASSERT(begun.connection != nullptr);
    this->Run(this->Write());
    const JobPointer commit = this->Commit();
    const JobResult ended = this->RunPinned(commit, begun.connection);
    CPPUNIT_ASSERT(ended.reply && ended.connection == nullptr);
    int transaction = -1;
    for (const auto& [connection, line] : this->primary->Lines()) {
      if (line.find("BEGIN") != std::string::npos) {
        transaction = connection;
      }
      if (line.find("COMMIT") != std::string::npos) {
        CPPUNIT_ASSERT_EQUAL(transaction, connection);
      }
      if (line.find("WRITE 1 data") != std::string::npos) {
        CPPUNIT_ASSERT(connection != transaction);
      }
    }
  }

  // Guards against a statement that runs outside its transaction because the
  // endpoint refused to begin the transaction.
  void StatementIsNotSentUnlessTheTransactionBegan() {
    this->RenewReadLease();
    this->primary->SetScript(
        [](std::string_view) { return "ERROR READONLY r\r\nREADY I 1.5\r\n"; });
    const JobResult result = this->Run(this->FirstOfTransaction());
    CPPUNIT_ASSERT(!result.reply);
    CPPUNIT_ASSERT(this->primary->Count("BEGIN") > 0);
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("READ 1"));
  }

  // Guards against telling a client that its transaction was rolled back
  // although it may have been committed.
  void LostCommitIsUnknown() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    this->primary->SetScript(
        [](std::string_view) { return FakeDatabase::kReset; });
    const JobResult ended = this->RunPinned(this->Commit(), begun.connection);
    CPPUNIT_ASSERT(!ended.reply && ended.error == ErrorCode::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("COMMIT"));
  }

  void LostTransactionIsAborted() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    this->primary->SetScript(
        [](std::string_view) { return FakeDatabase::kReset; });
    const JobPointer write = this->Write();
    const JobResult ended = this->RunPinned(write, begun.connection);
    CPPUNIT_ASSERT(!ended.reply && ended.error == ErrorCode::kAborted);
  }

  // Guards against taking a late reply for the reply to the next statement.
  void TimedOutStatementClosesItsConnection() {
    this->primary->SetScript(
        [](std::string_view) { return FakeDatabase::kSilence; });
    const JobResult result = this->Run(this->Write());
    CPPUNIT_ASSERT(result.error == ErrorCode::kTimeout);
    this->primary->SetScript(nullptr);
    this->context->clock.Advance(std::chrono::seconds(5));
    this->Run(this->Write());
    CPPUNIT_ASSERT_EQUAL(2, this->primary->Connections());
    CPPUNIT_ASSERT_EQUAL(2, this->primary->Count("WRITE 1 data"));
  }

  // Load pattern: the primary is being replaced, which takes longer than the
  // statement's time limit. Guards against holding the statement until then.
  void StatementThatCannotBeServedInTimeIsRefused() {
    this->context->primaries.Adopt({"s", "p", 1, true, 2});
    this->pool->OnDirectoryChanged();
    const JobPointer job = this->StrictRead();
    const std::optional<JobResult> result = this->Submit(job);
    CPPUNIT_ASSERT(this->finished.has_value());
    CPPUNIT_ASSERT(this->finished->error == ErrorCode::kBusy);
  }

  // Guards against statements of an open transaction that reach the data centre
  // after the evacuation bound.
  // Guards against a primary that stays in use while nobody replaces it.
  // Guards against an endpoint that stays in use because the store cannot be
  // read for long enough to remove it.
  // Guards against a choice that no longer holds when a connection is free.
  // Guards against the first statement of a transaction whose BEGIN was
  // answered late.
  // Guards against a transaction that is held open for its first statement
  // until a busy endpoint has left.
  void AllowedRegionsAreRespected() {
    this->RenewReadLease();
    this->AddSample();
    const JobPointer job = this->Read();
    job->route.allowed_regions = {"region-far"};
    CPPUNIT_ASSERT_EQUAL(std::string("p"), this->Run(job).endpoint_id);
    const JobPointer account = this->Write();
    account->account_regions = {"region-near"};
    CPPUNIT_ASSERT(this->Run(account).error == ErrorCode::kBusy);
  }

  // Guards against a promotion that does not know of commits whose clients have
  // their responses. The write's position is above the one known before it.
  void SuccessfulWriteIsACommittedPosition() {
    CPPUNIT_ASSERT(this->Succeeds(this->StrictRead()));
    CPPUNIT_ASSERT(this->pool->Committed() == model::LogPosition());
    const JobPointer write = this->Write();
    write->commits_write = true;
    CPPUNIT_ASSERT(this->Succeeds(write));
    CPPUNIT_ASSERT((this->pool->Committed() == model::LogPosition{1, 6}));
  }

  // Guards against passing on the success of a write that the former primary
  // committed beside its published successor.
  void CommitAtAFormerPrimaryIsUnknown() {
    this->primary->SetScript([this](std::string_view line) {
      this->context->primaries.Adopt({"s", "r", 2, false, 2});
      return this->primary->Succeed(line);
    });
    const JobPointer write = this->Write();
    write->commits_write = true;
    const JobResult result = this->Run(write);
    CPPUNIT_ASSERT(!result.reply && result.error == ErrorCode::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("WRITE"));
  }

  // Guards against passing on the success of a write that the primary commits
  // while another endpoint is about to be promoted.
  void CommitAtALostPrimaryIsUnknown() {
    this->primary->SetScript([this](std::string_view line) {
      routing::PrimaryRecord record{"s", "p", 1, true, 2};
      record.is_lost = true;
      this->context->primaries.Adopt(record);
      return this->primary->Succeed(line);
    });
    const JobPointer write = this->Write();
    write->commits_write = true;
    const JobResult result = this->Run(write);
    CPPUNIT_ASSERT(!result.reply && result.error == ErrorCode::kUnknown);
  }

  // Load pattern: the primary is replaced while this VM is suspended between
  // two attempts. Guards against stale reads: the former primary's position
  // counted as one that covers all commits up to the second attempt.
  void SampleOfAStatementThatIsSentAgainIsAsOldAsItsReadLease() {
    this->RenewReadLease();
    const kernel::Instant begun = this->context->clock.Now();
    this->RefuseAsBusy("READ 1", 1);
    const JobPointer job = this->FirstOfTransaction();
    job->deadline = job->arrived + std::chrono::seconds(5);
    this->Submit(job);
    this->Poll();
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("READ 1"));
    this->context->clock.Advance(routing::PrimaryTable::kReadLeaseLifetime);
    this->pool->Tick(this->context->clock.Now());
    this->RunUntilFinished(job);
    CPPUNIT_ASSERT_EQUAL(2, this->primary->Count("READ 1"));
    CPPUNIT_ASSERT(this->pool->NewestSample()->covered_until <= begun);
  }

  // Guards against work for a client that has given up, and against a write
  // that runs late, after a suspension.
  void StatementIsNotSentAgainAfterItsDeadline() {
    this->RefuseAsBusy("WRITE 1", 1);
    const JobPointer job = this->Write();
    this->Submit(job);
    this->Poll();
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("WRITE 1"));
    this->context->clock.Advance(std::chrono::seconds(2));
    this->pool->Tick(this->context->clock.Now());
    CPPUNIT_ASSERT(this->RunUntilFinished(job).error == ErrorCode::kBusy);
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("WRITE 1"));
  }

  // Guards against a wait for commits that a promotion has cut back.
  void OnlyCommitsOfThePublishedTermCount() {
    this->pool->ObserveCommitted({1, 9});
    CPPUNIT_ASSERT((this->pool->Committed() == model::LogPosition{1, 9}));
    this->context->primaries.Adopt({"s", "p", 1, true, 2});
    CPPUNIT_ASSERT((this->pool->Committed() == model::LogPosition{1, 9}));
    this->context->primaries.Adopt({"s", "r", 2, false, 3});
    CPPUNIT_ASSERT(this->pool->Committed() == model::LogPosition());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);

}  // namespace
}  // namespace laburnumkeel::proxy
