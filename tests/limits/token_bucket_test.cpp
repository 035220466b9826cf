#include "laburnumkeel/limits/token_bucket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::limits {
namespace {

using std::chrono::seconds;

class TokenBucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(StartsEmpty);
  CPPUNIT_TEST(ExpiredShareHoldsNothing);
  CPPUNIT_TEST(RenewalAfterExpiryStartsEmpty);
  CPPUNIT_TEST(LoweredCapacityDiscardsTokens);
  CPPUNIT_TEST(GrownCapacityStartsEmpty);
  CPPUNIT_TEST(ExpiredDynamicShareLeavesTheReserve);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restarted entry program that passes its burst again.
  void StartsEmpty() {
    this->Apply({2, 10}, 100, 0);
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(0)));
    CPPUNIT_ASSERT_EQUAL(6.0, this->bucket.Available(this->At(3)));
    CPPUNIT_ASSERT_EQUAL(10.0, this->bucket.Available(this->At(60)));
  }

  // Guards against a process that was paused until its share expired and then
  // spends tokens of a share that was reassigned to another VM.
  void ExpiredShareHoldsNothing() {
    this->Apply({2, 10}, 8, 0);
    CPPUNIT_ASSERT_EQUAL(10.0, this->bucket.Available(this->At(7)));
    CPPUNIT_ASSERT(!this->bucket.TryTake(this->At(8)));
  }

  // Guards against crediting tokens for the time in which the share was
  // expired.
  void RenewalAfterExpiryStartsEmpty() {
    this->Apply({2, 10}, 8, 0);
    this->Apply({2, 10}, 40, 30);
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(30)));
  }

  // Guards against tokens above a lowered burst that become usable again when
  // the burst is raised.
  void LoweredCapacityDiscardsTokens() {
    this->Apply({2, 10}, 100, 0);
    this->Apply({2, 3}, 100, 20);
    this->Apply({2, 10}, 100, 20);
    CPPUNIT_ASSERT_EQUAL(3.0, this->bucket.Available(this->At(20)));
  }

  // Guards against a burst that is used both by the VM that released it and by
  // the VM that received it.
  void GrownCapacityStartsEmpty() {
    this->Apply({1, 2}, 100, 0);
    this->Apply({1, 20}, 100, 10);
    CPPUNIT_ASSERT_EQUAL(2.0, this->bucket.Available(this->At(10)));
  }

  // Guards against a store outage during which tokens are credited at the rate
  // of the expired share, or the reserve's tokens are discarded as well.
  void ExpiredDynamicShareLeavesTheReserve() {
    this->bucket.Apply(LeasedAmount{{10, 20}, this->At(8)},
                       LeasedAmount{{1, 4}, this->At(100)}, this->At(0));
    CPPUNIT_ASSERT_EQUAL(24.0, this->bucket.Available(this->At(7)));
    CPPUNIT_ASSERT_EQUAL(4.0, this->bucket.Available(this->At(8)));
    for (int request = 0; request < 4; ++request) {
      CPPUNIT_ASSERT(this->bucket.TryTake(this->At(8)));
    }
    CPPUNIT_ASSERT_EQUAL(2.0, this->bucket.Available(this->At(10)));
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(100)));
  }

 private:
  void Apply(const ShareAmount& amount, int expiry, int now) {
    this->bucket.Apply(LeasedAmount{amount, this->At(expiry)}, LeasedAmount{},
                       this->At(now));
  }
  static kernel::Instant At(int second) {
    return kernel::Instant(seconds(3600 + second));
  }

  TokenBucket bucket;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

}  // namespace
}  // namespace laburnumkeel::limits
