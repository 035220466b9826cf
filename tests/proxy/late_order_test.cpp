#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

#include "programs/laburnumkeel-proxy/service_pool.h"
#include "tests/support/cut_link.h"
#include "tests/support/service_pool_fixture.h"

namespace laburnumkeel::proxy {
namespace {

using statements::EndpointReply;
using testing::CutLink;

// Commands to endpoints whose sender loses the leader lease before they arrive.
class LateOrderTest : public testing::ServicePoolFixture {
  CPPUNIT_TEST_SUITE(LateOrderTest);
  CPPUNIT_TEST(AbandonedOrderDoesNotArriveAfterACut);
  CPPUNIT_TEST(OrderThatWaitsForAConnectionIsNotSentWithoutTheLease);
  CPPUNIT_TEST(ConnectionIsUsedAgainAfterAnOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ServicePoolFixture::setUp();
    this->link = std::make_unique<CutLink>(this->context->loop,
                                           this->primary->Address());
    this->pool.reset();
    this->AddEndpoint("p", this->link->Address(), "far");
    this->pool = std::make_unique<ServicePool>(*this->context, "s");
  }

  void tearDown() override {
    this->pool.reset();
    this->link.reset();
    ServicePoolFixture::tearDown();
  }

  // Load pattern: the leader is cut off from an endpoint, and the cut outlasts
  // its lease. Guards against a replica that resumes during the change of the
  // next leader.
  void AbandonedOrderDoesNotArriveAfterACut() {
    this->OpenConnection();
    this->link->Cut();
    const std::size_t sent = this->link->SentBytes();
    this->GiveOrder();
    this->RunLoop();
    CPPUNIT_ASSERT(this->link->SentBytes() > sent);
    this->context->clock.Advance(kTimeout);
    this->pool->Tick(this->context->clock.Now());
    this->RunLoop();
    this->link->Heal();
    this->RunLoop();
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("RESUME"));
  }

  void OrderThatWaitsForAConnectionIsNotSentWithoutTheLease() {
    this->GiveOrder();
    this->is_leader = false;
    this->RunLoop();
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Connections());
    CPPUNIT_ASSERT_EQUAL(0, this->primary->Count("RESUME"));
    CPPUNIT_ASSERT_EQUAL(1, this->answers);
  }

  // Guards against connections that stay withdrawable, or are lost.
  void ConnectionIsUsedAgainAfterAnOrder() {
    this->OpenConnection();
    this->GiveOrder();
    this->RunLoop();
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Count("RESUME"));
    this->OpenConnection();
    CPPUNIT_ASSERT_EQUAL(1, this->primary->Connections());
  }

 private:
  static constexpr milliseconds kTimeout{700};

  void RunLoop() {
    this->context->loop.restart();
    this->context->loop.run_for(milliseconds(20));
  }

  void OpenConnection() {
    this->pool->RunInternal("p", platform_adapter::StatusText(), kTimeout,
                            [](const std::optional<EndpointReply>&) {});
    this->RunLoop();
  }

  void GiveOrder() {
    this->pool->RunOrder(
        "p", platform_adapter::ResumeText(), kTimeout,
        [this] { return this->is_leader; },
        [this](const std::optional<EndpointReply>&) { ++this->answers; });
  }

  std::unique_ptr<CutLink> link;
  bool is_leader = true;
  int answers = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateOrderTest);

}  // namespace
}  // namespace laburnumkeel::proxy
