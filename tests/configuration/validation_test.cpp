#include "laburnumkeel/configuration/validation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

using Change = void (*)(model::Configuration&);

class ValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValidationTest);
  CPPUNIT_TEST(AcceptsSample);
  CPPUNIT_TEST(ReportsEachFaultWithItsPath);
  CPPUNIT_TEST(ReportsAllFaultsAtOnce);
  CPPUNIT_TEST(ShowsPathValueAndRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against rules that refuse a valid configuration.
  void AcceptsSample() {
    CPPUNIT_ASSERT(Validate(testing::SampleConfiguration()).empty());
  }

  // Guards against a rule that is missing or reports the wrong field.
  void ReportsEachFaultWithItsPath() {
    const std::string endpoint = "services[0].groups[0].endpoints[1]";
    const std::pair<std::string, Change> cases[] = {
        {"fleet_size", [](auto& c) { c.fleet_size = 0; }},
        {"data_centres[3].name",
         [](auto& c) { c.data_centres.push_back(c.data_centres[0]); }},
        {"data_centres[1].region",
         [](auto& c) { c.data_centres[1].region = ""; }},
        {"services[0].isolated_serving_seconds",
         [](auto& c) { c.services[0].isolated_serving_seconds = 86401; }},
        {"services[0].groups[0].name",
         [](auto& c) { c.services[0].groups[0].name = "a/b"; }},
        {"services[0].groups[0].endpoints",
         [](auto& c) { c.services[0].groups[0].endpoints.pop_back(); }},
        {"services[0].groups[0].endpoints",
         [](auto& c) {
           c.services[0].groups[0].endpoints[0].data_centre = "dc3";
         }},
        {endpoint + ".name",
         [](auto& c) { c.services[0].groups[0].endpoints[1].name = "g1-dc1"; }},
        {endpoint + ".address",
         [](auto& c) {
           c.services[0].groups[0].endpoints[1].address = "localhost:1";
         }},
        {endpoint + ".address",
         [](auto& c) {
           c.services[0].groups[0].endpoints[1].address = "127.0.0.1:0";
         }},
        {endpoint + ".data_centre",
         [](auto& c) {
           c.services[0].groups[0].endpoints[1].data_centre = "dc9";
         }},
        {endpoint + ".connections",
         [](auto& c) { c.services[0].groups[0].endpoints[1].connections = 7; }},
        {endpoint + ".slots",
         [](auto& c) { c.services[0].groups[0].endpoints[1].slots = 0; }},
        {"client_accounts[1].name",
         [](auto& c) { c.client_accounts[1].name = "large"; }},
        {"client_accounts[1].service",
         [](auto& c) { c.client_accounts[1].service = "other"; }},
        {"client_accounts[1].rate",
         [](auto& c) { c.client_accounts[1].rate = 0; }},
        {"client_accounts[1].burst",
         [](auto& c) { c.client_accounts[1].burst = 0.5; }},
        {"client_accounts[1].keys[0].salt",
         [](auto& c) {
           c.client_accounts[1].keys = {
               {"k", "nonhexadecimal-salt", std::string(64, 'a')}};
         }},
        {"client_accounts[1].keys[0].digest",
         [](auto& c) {
           c.client_accounts[1].keys = {{"k", std::string(32, '1'), "abc"}};
         }},
        {"client_accounts[1].keys[0].id",
         [](auto& c) {
           c.client_accounts[0].keys = {
               {"k", std::string(32, '1'), std::string(64, 'a')}};
           c.client_accounts[1].keys = c.client_accounts[0].keys;
         }},
    };
    for (const auto& [path, change] : cases) {
      model::Configuration configuration = testing::SampleConfiguration();
      change(configuration);
      const std::vector<Fault> faults = Validate(configuration);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{1}, faults.size());
      CPPUNIT_ASSERT_EQUAL(path, faults[0].path);
    }
  }

  // Guards against reporting only the first fault, which would make an operator
  // submit the document again for each one.
  void ReportsAllFaultsAtOnce() {
    model::Configuration configuration = testing::SampleConfiguration();
    configuration.client_accounts[0].rate = -1;
    configuration.services[0].groups[0].endpoints[0].slots = 0;
    configuration.data_centres[0].region = "";
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Validate(configuration).size());
  }

  // Guards against a message without the value or the allowed range.
  void ShowsPathValueAndRange() {
    model::Configuration configuration = testing::SampleConfiguration();
    configuration.services[0].isolated_serving_seconds = -5;
    CPPUNIT_ASSERT_EQUAL(
        std::string("services[0].isolated_serving_seconds: value '-5', allowed "
                    "0 to 86400"),
        ToString(Validate(configuration).at(0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

}  // namespace
}  // namespace laburnumkeel::configuration
