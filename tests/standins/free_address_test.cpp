#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <string>

#include "tests/support/free_port.h"

namespace laburnumkeel::testing {
namespace {

class FreeAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreeAddressTest);
  CPPUNIT_TEST(AddressIsNotGivenToTwoServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a program that cannot listen, since two of its addresses are
  // the same.
  void AddressIsNotGivenToTwoServers() {
    std::deque<std::string> latest;
    for (int count = 0; count < kDraws; ++count) {
      const std::string address = FreeAddress();
      CPPUNIT_ASSERT_MESSAGE(
          address + " after " + std::to_string(count) + " draws",
          std::find(latest.begin(), latest.end(), address) == latest.end());
      latest.push_back(address);
      if (latest.size() > kServers) {
        latest.pop_front();
      }
    }
  }

 private:
  static constexpr int kDraws = 30000;
  // As many as a test starts together.
  static constexpr std::size_t kServers = 20;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreeAddressTest);

}  // namespace
}  // namespace laburnumkeel::testing
