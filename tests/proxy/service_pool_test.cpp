#include "programs/laburnumkeel-proxy/service_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "tests/support/fake_database.h"

namespace laburnumkeel::proxy {
namespace {

using statements::ErrorCode;
using statements::StatementKind;
using std::chrono::milliseconds;
using testing::FakeDatabase;

// A pool with a primary and a replica on loopback connections, and a paused
// clock.
class ServicePoolTest : public CppUnit::TestFixture {
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
  CPPUNIT_TEST(EvacuatedDataCentreGetsNoReads);
  CPPUNIT_TEST(EvacuatedDataCentreEndsItsTransactions);
  CPPUNIT_TEST(RefusedStatementOfATransactionIsNotSentAgainAfterTheEvacuation);
  CPPUNIT_TEST(DrainingPrimaryGetsNothingAfterItsBound);
  CPPUNIT_TEST(UnregisteredEndpointGetsNothingAfterItsBound);
  CPPUNIT_TEST(WaitingStatementIsNotSentAfterTheBound);
  CPPUNIT_TEST(WaitingWriteIsNotSentToAFormerPrimary);
  CPPUNIT_TEST(BegunTransactionIsNotUsedAfterTheBound);
  CPPUNIT_TEST(RefusedFirstStatementIsNotSentAgainAfterTheBound);
  CPPUNIT_TEST(AllowedRegionsAreRespected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->context = std::make_unique<ProxyContext>(MakeSettings());
    this->context->clock.Pause();
    this->primary = std::make_unique<FakeDatabase>(this->context->loop);
    this->replica = std::make_unique<FakeDatabase>(this->context->loop);
    this->AddEndpoint("p", this->primary->Address(), "far");
    this->AddEndpoint("r", this->replica->Address(), "near");
    auto configuration = std::make_shared<model::ProxyConfiguration>();
    configuration->services["s"] = {"s", 20, 0};
    configuration->accounts["acc"] = {"acc", 100, 100, {}};
    this->context->configuration = configuration;
    this->context->primaries.Adopt({"s", "p", 1, false, 1});
    this->pool = std::make_unique<ServicePool>(*this->context, "s");
  }

  void tearDown() override {
    this->pool.reset();
    this->primary.reset();
    this->replica.reset();
    this->context.reset();
  }

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

  void EvacuatedDataCentreGetsNoReads() {
    this->RenewReadLease();
    this->AddSample();
    this->context->evacuations.ConfirmComplete(this->context->clock.Now());
    this->context->evacuations.Begin("near");
    this->Run(this->Read());
    CPPUNIT_ASSERT_EQUAL(0, this->replica->Connections());
    // The primary stays in use until shortly before the evacuation bound, which
    // this VM learns of 2 s late.
    this->context->clock.Advance(milliseconds(2000));
    this->context->evacuations.Begin("far");
    CPPUNIT_ASSERT(this->Run(this->Write()).reply.has_value());
    this->context->clock.Advance(milliseconds(2400));
    this->RenewReadLease();
    CPPUNIT_ASSERT(this->Run(this->Write()).error == ErrorCode::kBusy);
  }

  // Guards against statements of an open transaction that reach the data centre
  // after the evacuation bound.
  void EvacuatedDataCentreEndsItsTransactions() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    this->context->evacuations.ConfirmComplete(this->context->clock.Now());
    this->context->evacuations.Begin("far");
    this->context->clock.Advance(milliseconds(4400));
    const int before = this->primary->Count("WRITE");
    const JobResult ended = this->RunPinned(this->Write(), begun.connection);
    CPPUNIT_ASSERT(!ended.reply && ended.error == ErrorCode::kAborted);
    CPPUNIT_ASSERT_EQUAL(before, this->primary->Count("WRITE"));
  }

  void RefusedStatementOfATransactionIsNotSentAgainAfterTheEvacuation() {
    this->RenewReadLease();
    const JobResult begun = this->Run(this->FirstOfTransaction());
    this->context->evacuations.ConfirmComplete(this->context->clock.Now());
    this->context->evacuations.Begin("far");
    const kernel::Instant bound =
        this->context->clock.Now() + milliseconds(5000);
    this->context->clock.Advance(milliseconds(4300));
    std::vector<kernel::Instant> sent;
    this->RefuseAsBusy("WRITE 1 data", &sent);
    const JobResult result = this->RunPinned(this->Write(), begun.connection);
    CPPUNIT_ASSERT(ErrorOf(result) == ErrorCode::kAborted);
    CPPUNIT_ASSERT(!sent.empty());
    CPPUNIT_ASSERT(sent.back() < bound - milliseconds(600));
  }

  // Guards against a primary that stays in use while nobody replaces it.
  void DrainingPrimaryGetsNothingAfterItsBound() {
    this->BeginDeparture("p");
    this->context->endpoints["p"].is_draining = true;
    this->pool->OnDirectoryChanged();
    this->context->clock.Advance(milliseconds(6000));
    CPPUNIT_ASSERT(this->Succeeds(this->Write()));
    CPPUNIT_ASSERT(this->Succeeds(this->StrictRead()));
    this->context->clock.Advance(milliseconds(1000));
    const auto client_statements = [this] {
      return this->primary->Count("QUERY id") + this->primary->Count("BEGIN");
    };
    const int before = client_statements();
    CPPUNIT_ASSERT(!this->Succeeds(this->Write()));
    CPPUNIT_ASSERT(!this->Succeeds(this->StrictRead()));
    CPPUNIT_ASSERT(!this->Succeeds(this->FirstOfTransaction()));
    this->context->endpoints.erase("r");
    CPPUNIT_ASSERT(!this->Succeeds(this->Read()));
    CPPUNIT_ASSERT_EQUAL(before, client_statements());
  }

  // Guards against an endpoint that stays in use because the store cannot be
  // read for long enough to remove it.
  void UnregisteredEndpointGetsNothingAfterItsBound() {
    this->BeginDeparture("r");
    this->context->clock.Advance(milliseconds(7000));
    this->RenewReadLease();
    this->AddSample();
    CPPUNIT_ASSERT_EQUAL(std::string("p"), this->Run(this->Read()).endpoint_id);
    CPPUNIT_ASSERT_EQUAL(0, this->replica->Connections());
  }

  // Guards against a choice that no longer holds when a connection is free.
  void WaitingStatementIsNotSentAfterTheBound() {
    this->BeginDeparture("r");
    this->context->clock.Advance(milliseconds(6300));
    this->RenewReadLease();
    this->AddSample();
    const JobPointer read = this->Read();
    this->Submit(read);
    CPPUNIT_ASSERT_EQUAL(std::string("r"), read->endpoint_id);
    this->context->clock.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         this->RunUntilFinished(read).endpoint_id);
    CPPUNIT_ASSERT_EQUAL(0, this->replica->Count("READ"));
  }

  void WaitingWriteIsNotSentToAFormerPrimary() {
    const JobPointer write = this->Write();
    this->Submit(write);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), write->endpoint_id);
    this->context->primaries.Adopt({"s", "r", 2, false, 3});
    this->pool->OnDirectoryChanged();
    CPPUNIT_ASSERT_EQUAL(std::string("r"),
                         this->RunUntilFinished(write).endpoint_id);
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("WRITE"));
  }

  // Guards against the first statement of a transaction whose BEGIN was
  // answered late.
  void BegunTransactionIsNotUsedAfterTheBound() {
    this->BeginDeparture("p");
    this->context->clock.Advance(milliseconds(6300));
    this->primary->SetScript([this](std::string_view line) {
      if (line.find("BEGIN") != std::string_view::npos) {
        this->context->clock.Advance(milliseconds(200));
      }
      return this->primary->Succeed(line);
    });
    CPPUNIT_ASSERT(!this->Succeeds(this->FirstOfTransaction()));
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("BEGIN"));
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("ROLLBACK"));
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("READ 1"));
  }

  // Guards against a transaction that is held open for its first statement
  // until a busy endpoint has left.
  void RefusedFirstStatementIsNotSentAgainAfterTheBound() {
    this->BeginDeparture("p");
    this->context->clock.Advance(milliseconds(6300));
    const kernel::Instant cutoff =
        this->context->clock.Now() + milliseconds(100);
    std::vector<kernel::Instant> sent;
    this->RefuseAsBusy("READ 1", &sent);
    CPPUNIT_ASSERT(!this->Succeeds(this->FirstOfTransaction()));
    CPPUNIT_ASSERT(!sent.empty());
    CPPUNIT_ASSERT(sent.back() < cutoff);
  }

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

 private:
  static platform_adapter::ProxySettings MakeSettings() {
    platform_adapter::ProxySettings settings;
    settings.vm = "vm";
    settings.data_centre = "near";
    settings.region = "region-near";
    settings.regions = {{"near", "region-near"}, {"far", "region-far"}};
    return settings;
  }

  void AddEndpoint(const std::string& id, const std::string& address,
                   const std::string& data_centre) {
    model::DatabaseEndpoint endpoint;
    endpoint.id = id;
    endpoint.service = "s";
    endpoint.address = address;
    endpoint.data_centre = data_centre;
    endpoint.slots = 3;
    this->context->endpoints[id] = endpoint;
  }

  // The endpoint was not yet leaving at the current time.
  void BeginDeparture(const std::string& id) {
    this->context->endpoint_departures.ConfirmComplete(
        this->context->clock.Now());
    this->context->endpoint_departures.Begin(id);
  }

  bool Succeeds(const JobPointer& job) {
    this->RenewReadLease();
    const JobResult result = this->Run(job);
    return result.reply && result.reply->signature;
  }

  // The primary refuses the first `count` statements that contain `word`.
  void RefuseAsBusy(const std::string& word, int count) {
    this->primary->SetScript(
        [this, word, count](std::string_view line) -> std::string {
          const bool is_refused = line.find(word) != std::string_view::npos &&
                                  this->primary->Count(word) <= count;
          return is_refused ? this->primary->Refuse("BUSY full")
                            : this->primary->Succeed(line);
        });
  }

  // The primary refuses every statement that contains `word`; `sent` receives
  // the times at which they arrive.
  void RefuseAsBusy(const std::string& word,
                    std::vector<kernel::Instant>* sent) {
    this->primary->SetScript(
        [this, word, sent](std::string_view line) -> std::string {
          if (line.find(word) == std::string_view::npos) {
            return this->primary->Succeed(line);
          }
          sent->push_back(this->context->clock.Now());
          return this->primary->Refuse("BUSY full");
        });
  }

  // The error that the client receives, from the endpoint or from the proxy.
  static ErrorCode ErrorOf(const JobResult& result) {
    const bool has_succeeded = result.reply && result.reply->signature;
    CPPUNIT_ASSERT(!has_succeeded);
    return result.reply ? result.reply->error : result.error;
  }

  void RenewReadLease() {
    this->context->primaries.ConfirmAll(100, this->context->clock.Now());
  }
  void AddSample() {
    this->pool->AddSample({1, 4}, this->context->clock.Now());
  }

  JobPointer MakeJob(JobKind kind, StatementKind statement,
                     const std::string& text) {
    auto job = std::make_shared<StatementJob>();
    job->kind = kind;
    job->statement.kind = statement;
    job->statement.id = "id";
    job->statement.text = text;
    job->account = "acc";
    job->route.service = "s";
    job->route.consistency = model::ReadConsistency::kReadYourWrites;
    job->route.max_staleness = milliseconds(2500);
    job->arrived = this->context->clock.Now();
    job->deadline = job->arrived + milliseconds(1000);
    return job;
  }
  JobPointer Write() {
    return this->MakeJob(JobKind::kWrite, StatementKind::kWrite,
                         "WRITE 1 data");
  }
  JobPointer Read() {
    return this->MakeJob(JobKind::kRead, StatementKind::kRead, "READ 1");
  }
  JobPointer StrictRead() {
    JobPointer job =
        this->MakeJob(JobKind::kStrictRead, StatementKind::kRead, "READ 1");
    job->route.consistency = model::ReadConsistency::kPrimary;
    return job;
  }
  JobPointer FirstOfTransaction() {
    JobPointer job = this->StrictRead();
    job->opens_transaction = true;
    return job;
  }
  JobPointer Commit() {
    return this->MakeJob(JobKind::kStrictRead, StatementKind::kCommit,
                         "COMMIT");
  }

  std::optional<JobResult> Submit(const JobPointer& job) {
    this->finished.reset();
    job->done = [this](JobResult result) {
      this->finished = std::move(result);
    };
    this->pool->Submit(job);
    return this->finished;
  }

  JobResult Run(const JobPointer& job) {
    this->Submit(job);
    return this->RunUntilFinished(job);
  }

  JobResult RunPinned(const JobPointer& job,
                      const std::shared_ptr<EndpointConnection>& connection) {
    this->finished.reset();
    job->done = [this](JobResult result) {
      this->finished = std::move(result);
    };
    this->pool->SubmitPinned(job, connection);
    return this->RunUntilFinished(job);
  }

  // Processes messages and advances the clock until the job has finished.
  JobResult RunUntilFinished(const JobPointer& job) {
    for (int tick = 0; tick < 80 && !this->finished; ++tick) {
      this->Poll();
      if (!this->finished) {
        this->context->clock.Advance(milliseconds(25));
        this->pool->Tick(this->context->clock.Now());
      }
    }
    CPPUNIT_ASSERT_MESSAGE(job->statement.text, this->finished.has_value());
    return *this->finished;
  }

  // Runs all ready handlers; messages on loopback take a moment to arrive.
  void Poll() {
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(4));
  }

  std::unique_ptr<ProxyContext> context;
  std::unique_ptr<FakeDatabase> primary;
  std::unique_ptr<FakeDatabase> replica;
  std::unique_ptr<ServicePool> pool;
  std::optional<JobResult> finished;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);

}  // namespace
}  // namespace laburnumkeel::proxy
