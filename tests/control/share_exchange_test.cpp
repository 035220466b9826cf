#include "programs/laburnumkeel-control/share_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace laburnumkeel::control {
namespace {

constexpr char kIncarnation[] = "control-2";

class ShareExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShareExchangeTest);
  CPPUNIT_TEST(ConfirmsOnlyWhatTheEntryProgramApplied);
  CPPUNIT_TEST(AnOfferOfAnEarlierControlProgramConfirmsNothing);
  CPPUNIT_TEST(AnUndeliveredOfferNeedsNoConfirmation);
  CPPUNIT_TEST(AnEndedEntryProgramHoldsNothing);
  CPPUNIT_TEST(ExpiredSharesAreNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reduced share in the ledger while the entry program still
  // uses the larger one.
  void ConfirmsOnlyWhatTheEntryProgramApplied() {
    this->share_exchange.Offer({this->ShareFor(std::chrono::seconds(5))});
    const auto first = this->Exchange(0, kIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, first.offer);
    CPPUNIT_ASSERT(!this->share_exchange.Confirm());
    this->Exchange(1, kIncarnation);
    CPPUNIT_ASSERT(this->share_exchange.Confirm());
    this->share_exchange.Offer({});
    CPPUNIT_ASSERT(!this->share_exchange.Confirm());
  }

  // Guards against a confirmation by an offer of another incarnation that
  // happens to have the same number.
  void AnOfferOfAnEarlierControlProgramConfirmsNothing() {
    this->share_exchange.Offer({this->ShareFor(std::chrono::seconds(5))});
    this->Exchange(1, "control-1");
    CPPUNIT_ASSERT(!this->share_exchange.Confirm());
  }

  // Guards against a control program that cannot lower its shares because no
  // entry program runs.
  void AnUndeliveredOfferNeedsNoConfirmation() {
    this->share_exchange.Offer({this->ShareFor(std::chrono::seconds(5))});
    CPPUNIT_ASSERT(this->share_exchange.Confirm());
  }

  // Guards against shares that stay assigned after a graceful shutdown.
  void AnEndedEntryProgramHoldsNothing() {
    this->share_exchange.Offer({this->ShareFor(std::chrono::seconds(5))});
    this->Exchange(0, kIncarnation);
    peer::generated::EntryReport report;
    report.ended = true;
    peer::generated::EntryInstructions ignored;
    this->share_exchange.Exchange(report, ignored);
    CPPUNIT_ASSERT(this->share_exchange.Confirm());
  }

  // Guards against a share that is sent after its lifetime, or whose lifetime
  // restarts with each exchange.
  void ExpiredSharesAreNotSent() {
    this->share_exchange.Offer(
        {this->ShareFor(std::chrono::milliseconds(-1)),
         this->ShareFor(std::chrono::milliseconds(200))});
    const auto first = this->Exchange(0, kIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.shares.size());
    CPPUNIT_ASSERT(first.shares.front().lifetime_ms <= 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(210));
    CPPUNIT_ASSERT(this->Exchange(1, kIncarnation).shares.empty());
  }

 private:
  limits::Share ShareFor(kernel::Duration lifetime) const {
    return limits::Share{"maan", limits::ShareKind::kDynamic,
                         limits::ShareAmount{10, 5},
                         this->clock.Now() + lifetime};
  }

  peer::generated::EntryInstructions Exchange(std::int64_t applied_offer,
                                              const std::string& incarnation) {
    peer::generated::EntryReport report;
    report.applied_offer = applied_offer;
    report.control_incarnation = incarnation;
    peer::generated::EntryInstructions instructions;
    this->share_exchange.Exchange(report, instructions);
    return instructions;
  }

  const kernel::BootClock clock{};
  ShareExchange share_exchange{kIncarnation};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareExchangeTest);

}  // namespace
}  // namespace laburnumkeel::control
