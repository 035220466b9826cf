#include "programs/laburnumkeel-proxy/account_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

namespace laburnumkeel::proxy {
namespace {

using std::chrono::milliseconds;

class AccountGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountGateTest);
  CPPUNIT_TEST(WaitingOperationPassesWithItsGrant);
  CPPUNIT_TEST(RefusedByTheCoordinatorIsRefusedAtOnce);
  CPPUNIT_TEST(ExcessIsRefusedWithoutAsking);
  CPPUNIT_TEST(OperationWaitsForWhatIsPublishedSoon);
  CPPUNIT_TEST(BriefReportHoldsOnlyWhatWaits);
  CPPUNIT_TEST(OperationIsAskedForOnce);
  CPPUNIT_TEST(LostQuestionIsAskedAgain);
  CPPUNIT_TEST(OperationDoesNotWaitForever);
  CPPUNIT_TEST(NothingWaitsForACoordinatorThatIsLongGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->context =
        std::make_unique<ProxyContext>(platform_adapter::ProxySettings());
    this->context->clock.Pause();
    this->context->vm_count = 100;
    auto configuration = std::make_shared<model::ProxyConfiguration>();
    configuration->accounts["acc"] = {"acc", 10, 10, {}};
    this->context->configuration = configuration;
    this->gate = std::make_unique<AccountGate>(*this->context,
                                               [this] { ++this->requests; });
  }

  // Load pattern: the first client of an account on a VM without a share.
  void WaitingOperationPassesWithItsGrant() {
    this->Admit();
    CPPUNIT_ASSERT(!this->answer);
    CPPUNIT_ASSERT_EQUAL(1, this->requests);
    this->Grant(1);
    CPPUNIT_ASSERT(this->answer == true);
  }

  void RefusedByTheCoordinatorIsRefusedAtOnce() {
    this->Admit();
    this->Grant(0);
    CPPUNIT_ASSERT(this->answer == false);
  }

  // Load pattern: an account far above its rate, whose excess must not load
  // the coordinator or wait.
  void ExcessIsRefusedWithoutAsking() {
    this->Admit();
    this->Grant(0);
    this->requests = 0;
    this->answer.reset();
    this->Admit();
    CPPUNIT_ASSERT(this->answer == false);
    CPPUNIT_ASSERT_EQUAL(0, this->requests);
  }

  // Guards against refusing an operation that the coordinator can grant as soon
  // as it has published that it keeps less for a successor.
  void OperationWaitsForWhatIsPublishedSoon() {
    this->Admit();
    this->requests = 0;
    this->Grant(0, true);
    CPPUNIT_ASSERT(!this->answer);
    CPPUNIT_ASSERT_EQUAL(1, this->requests);
    this->Grant(1);
    CPPUNIT_ASSERT(this->answer == true);
  }

  // Guards against a datagram with all accounts for each operation.
  void BriefReportHoldsOnlyWhatWaits() {
    this->Admit();
    const kernel::Instant now = this->context->clock.Now();
    CPPUNIT_ASSERT_EQUAL(
        1, this->gate->ReportWaiting(now).at("acc").waiting_operations);
    this->Grant(1);
    CPPUNIT_ASSERT(this->gate->ReportWaiting(now).empty());
    CPPUNIT_ASSERT(this->gate->Report(now).contains("acc"));
  }

  // Load pattern: operations of one account arrive faster than the coordinator
  // in another region answers. Guards against grants for operations that were
  // granted already, which take from the account's limit and lapse.
  void OperationIsAskedForOnce() {
    this->Admit();
    kernel::Instant now = this->context->clock.Now();
    CPPUNIT_ASSERT_EQUAL(
        1, this->gate->ReportWaiting(now).at("acc").waiting_operations);
    this->context->clock.Advance(milliseconds(30));
    this->Admit();
    now = this->context->clock.Now();
    CPPUNIT_ASSERT_EQUAL(
        1, this->gate->ReportWaiting(now).at("acc").waiting_operations);
    CPPUNIT_ASSERT_EQUAL(0,
                         this->gate->Report(now).at("acc").waiting_operations);
  }

  void LostQuestionIsAskedAgain() {
    this->Admit();
    this->gate->ReportWaiting(this->context->clock.Now());
    this->context->clock.Advance(milliseconds(100));
    const kernel::Instant now = this->context->clock.Now();
    CPPUNIT_ASSERT_EQUAL(
        1, this->gate->ReportWaiting(now).at("acc").waiting_operations);
  }

  void OperationDoesNotWaitForever() {
    this->gate->OnResponse(this->context->clock.Now());
    this->Admit();
    this->context->clock.Advance(milliseconds(150));
    this->gate->Tick(this->context->clock.Now());
    CPPUNIT_ASSERT(this->answer == false);
  }

  void NothingWaitsForACoordinatorThatIsLongGone() {
    this->context->clock.Advance(std::chrono::seconds(4));
    this->Admit();
    CPPUNIT_ASSERT(this->answer == false);
  }

 private:
  void Admit() {
    this->gate->Admit("acc",
                      [this](bool is_admitted) { this->answer = is_admitted; });
  }
  void Grant(int operations, bool is_more_pending = false) {
    const kernel::Instant sent = this->context->clock.Now();
    this->gate->ReportWaiting(sent);
    this->context->clock.Advance(milliseconds(20));
    this->gate->OnResponse(sent);
    this->gate->OnGrant("acc", {{}, operations, is_more_pending}, sent);
  }

  std::unique_ptr<ProxyContext> context;
  std::unique_ptr<AccountGate> gate;
  int requests = 0;
  std::optional<bool> answer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountGateTest);

}  // namespace
}  // namespace laburnumkeel::proxy
