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

  // Guards against a process that was paused past its lease and then spends
  // tokens that another VM has been given.
  void ExpiredShareHoldsNothing() {
    this->Apply({2, 10}, 8, 0);
    CPPUNIT_ASSERT_EQUAL(10.0, this->bucket.Available(this->At(7)));
    CPPUNIT_ASSERT(!this->bucket.TryTake(this->At(8)));
  }

  // Guards against crediting the time in which the share was not valid.
  void RenewalAfterExpiryStartsEmpty() {
    this->Apply({2, 10}, 8, 0);
    this->Apply({2, 10}, 40, 30);
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(30)));
  }

  // Guards against tokens that outlive the burst they belong to.
  void LoweredCapacityDiscardsTokens() {
    this->Apply({2, 10}, 100, 0);
    this->Apply({2, 3}, 100, 20);
    this->Apply({2, 10}, 100, 20);
    CPPUNIT_ASSERT_EQUAL(3.0, this->bucket.Available(this->At(20)));
  }

  // Guards against a burst that is passed once by the VM that gave it up and
  // again by the VM that received it.
  void GrownCapacityStartsEmpty() {
    this->Apply({1, 2}, 100, 0);
    this->Apply({1, 20}, 100, 10);
    CPPUNIT_ASSERT_EQUAL(2.0, this->bucket.Available(this->At(10)));
  }

  // Guards against an outage of the store that is credited at the rate of the
  // expired share, or that takes the reserve's tokens as well.
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
