#include "laburnumkeel/model/configuration_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::model {
namespace {

class ConfigurationCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationCodecTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(ErrorNamesThePath);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is written but not read, or the reverse.
  void RoundTrips() {
    const Configuration configuration{
        3,
        8,
        {DataCentre{"dc1", "r1", Availability::kOut}},
        {Service{"ledger",
                 {DatabaseGroup{"g1",
                                {Endpoint{"g1-a", "127.0.0.1:9000", "dc1", 20,
                                          3, Availability::kOut}}}},
                 30}},
        {ClientAccount{"aqaba", "ledger", 12.5, 5, {KeyHash{"k", "s", "d"}}}}};
    const auto decoded = DecodeConfiguration(Encode(configuration));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == configuration);
  }

  // Guards against an error message that does not give the path of the error,
  // and against a misspelt field that is ignored.
  void ErrorNamesThePath() {
    const auto decoded = DecodeConfiguration(
        R"({"services":[{"name":"s","groups":[{"nmae":"g"}]}]})");
    CPPUNIT_ASSERT(!decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "configuration.services[0].groups[0]: unknown field 'nmae'"),
        decoded.error().message);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCodecTest);

}  // namespace
}  // namespace laburnumkeel::model
