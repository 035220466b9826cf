#ifndef LABURNUMKEEL_TESTS_SUPPORT_SERVICE_POOL_FIXTURE_H_
#define LABURNUMKEEL_TESTS_SUPPORT_SERVICE_POOL_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/wire_codec.h"
#include "programs/laburnumkeel-proxy/proxy_context.h"
#include "programs/laburnumkeel-proxy/service_pool.h"
#include "tests/support/fake_database.h"

namespace laburnumkeel::testing {

// A pool with a primary `p` in data centre `far` and a replica `r` in `near`,
// on loopback connections, and a paused clock.
class ServicePoolFixture : public CppUnit::TestFixture {
 public:
  using ErrorCode = statements::ErrorCode;
  using JobKind = proxy::JobKind;
  using JobPointer = proxy::JobPointer;
  using JobResult = proxy::JobResult;
  using StatementKind = statements::StatementKind;
  using milliseconds = std::chrono::milliseconds;

  void setUp() override {
    this->context = std::make_unique<proxy::ProxyContext>(MakeSettings());
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
    this->pool = std::make_unique<proxy::ServicePool>(*this->context, "s");
  }

  void tearDown() override {
    this->pool.reset();
    this->primary.reset();
    this->replica.reset();
    this->context.reset();
  }

 protected:
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
    auto job = std::make_shared<proxy::StatementJob>();
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

  JobResult RunPinned(
      const JobPointer& job,
      const std::shared_ptr<proxy::EndpointConnection>& connection) {
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

  std::unique_ptr<proxy::ProxyContext> context;
  std::unique_ptr<FakeDatabase> primary;
  std::unique_ptr<FakeDatabase> replica;
  std::unique_ptr<proxy::ServicePool> pool;
  std::optional<JobResult> finished;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_SERVICE_POOL_FIXTURE_H_
