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
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a restarted entry program that passes its burst again.
  void StartsEmpty() {
    this->bucket.Apply(ShareAmount{2, 10}, this->At(100), this->At(0));
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(0)));
    CPPUNIT_ASSERT_EQUAL(6.0, this->bucket.Available(this->At(3)));
    CPPUNIT_ASSERT_EQUAL(10.0, this->bucket.Available(this->At(60)));
  }

  // Guards against a process that was paused past its lease and then spends
  // tokens that another VM has been given.
  void ExpiredShareHoldsNothing() {
    this->bucket.Apply(ShareAmount{2, 10}, this->At(8), this->At(0));
    CPPUNIT_ASSERT_EQUAL(10.0, this->bucket.Available(this->At(7)));
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Take(1, this->At(8)));
  }

  // Guards against crediting the time in which the share was not valid.
  void RenewalAfterExpiryStartsEmpty() {
    this->bucket.Apply(ShareAmount{2, 10}, this->At(8), this->At(0));
    this->bucket.Apply(ShareAmount{2, 10}, this->At(40), this->At(30));
    CPPUNIT_ASSERT_EQUAL(0.0, this->bucket.Available(this->At(30)));
  }

  // Guards against tokens that outlive the burst they belong to.
  void LoweredCapacityDiscardsTokens() {
    this->bucket.Apply(ShareAmount{2, 10}, this->At(100), this->At(0));
    this->bucket.Apply(ShareAmount{2, 3}, this->At(100), this->At(20));
    this->bucket.Apply(ShareAmount{2, 10}, this->At(100), this->At(20));
    CPPUNIT_ASSERT_EQUAL(3.0, this->bucket.Available(this->At(20)));
  }

  // Guards against a burst that is passed once by the VM that gave it up and
  // again by the VM that received it.
  void GrownCapacityStartsEmpty() {
    this->bucket.Apply(ShareAmount{1, 2}, this->At(100), this->At(0));
    this->bucket.Apply(ShareAmount{1, 20}, this->At(100), this->At(10));
    CPPUNIT_ASSERT_EQUAL(2.0, this->bucket.Available(this->At(10)));
  }

 private:
  static kernel::Instant At(int second) {
    return kernel::Instant(seconds(3600 + second));
  }

  TokenBucket bucket;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

}  // namespace
}  // namespace laburnumkeel::limits
