#include "laburnumkeel/configuration/difference.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

class DifferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DifferenceTest);
  CPPUNIT_TEST(ShowsAddedRemovedAndChanged);
  CPPUNIT_TEST(HidesKeyHashes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that is missing from the output.
  void ShowsAddedRemovedAndChanged() {
    const model::Configuration before = testing::SampleConfiguration();
    model::Configuration after = before;
    after.version = 9;
    after.data_centres[1].availability = model::Availability::kOut;
    after.client_accounts.erase(after.client_accounts.begin());
    after.data_centres.push_back(
        model::DataCentre{"dc4", "region1", model::Availability::kIn});
    const std::vector<std::string> expected{
        "- client_account large: burst = 200",
        "- client_account large: rate = 400",
        "- client_account large: service = ledger",
        "~ data_centre dc2: state = in -> out",
        "+ data_centre dc4: region = region1",
        "+ data_centre dc4: state = in"};
    CPPUNIT_ASSERT(Difference(before, after) == expected);
    CPPUNIT_ASSERT(Difference(before, before).empty());
  }

  // Guards against key hashes in the output, which operators may copy from a
  // terminal to a ticket.
  void HidesKeyHashes() {
    const model::Configuration before = testing::SampleConfiguration();
    model::Configuration after = before;
    after.client_accounts[0].keys = {model::KeyHash{"id1", "5a17", "d19e57"}};
    const std::vector<std::string> expected{
        "+ client_account large/key id1: hash = (hidden)"};
    CPPUNIT_ASSERT(Difference(before, after) == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DifferenceTest);

}  // namespace
}  // namespace laburnumkeel::configuration
