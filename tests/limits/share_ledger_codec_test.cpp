#include "laburnumkeel/limits/share_ledger_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::limits {
namespace {

class ShareLedgerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShareLedgerCodecTest);
  CPPUNIT_TEST(RoundTripsWithoutLoss);
  CPPUNIT_TEST(RejectsInvalidRows);
  CPPUNIT_TEST(FindsExceededLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against rounding errors that would let sums exceed the limit.
  void RoundTripsWithoutLoss() {
    const auto decoded = DecodeLedger(EncodeLedger(this->ledger));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == this->ledger);
  }

  // Guards against shares that are assigned from a damaged row.
  void RejectsInvalidRows() {
    for (const char* text :
         {"", "{}", "[]", R"({"entries":[{}]})", R"({"entries":[7]})",
          R"({"entries":[{"vm":"v","incarnation":"i","sequence":1,
              "configuration_version":1,"accounts":{"a":{"dynamic":[-1,1],
              "reserve":[0,0],"demand":0}}}]})"}) {
      CPPUNIT_ASSERT(!DecodeLedger(text).has_value());
    }
    ShareLedger duplicated = this->ledger;
    duplicated.entries.push_back(this->ledger.entries[0]);
    CPPUNIT_ASSERT(!DecodeLedger(EncodeLedger(duplicated)).has_value());
  }

  // Guards against an invariant check that misses the burst, the reserve or
  // an account without a limit.
  void FindsExceededLimits() {
    const ShareAmount sum = TotalOf(this->ledger, "a");
    CPPUNIT_ASSERT(IsWithinLimits(this->ledger, {{"a", sum}}));
    CPPUNIT_ASSERT(
        !IsWithinLimits(this->ledger, {{"a", {sum.rate, sum.burst - 0.1}}}));
    CPPUNIT_ASSERT(
        !IsWithinLimits(this->ledger, {{"a", {sum.rate - 0.1, sum.burst}}}));
    CPPUNIT_ASSERT(!IsWithinLimits(this->ledger, {}));
  }

 private:
  ShareLedger ledger{
      {LedgerEntry{"vm1", "i1", 7, 3, {{"a", {{0.1, 1.0 / 3}, {2, 1}, 5.5}}}},
       LedgerEntry{"vm2", "i2", 9, 3, {{"a", {{0.2, 1e-9}, {0, 0}, 0}}}}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareLedgerCodecTest);

}  // namespace
}  // namespace laburnumkeel::limits
