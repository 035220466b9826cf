#include "laburnumkeel/kernel/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>

namespace laburnumkeel::kernel {
namespace {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReportsAllErrorsAtOnce);
  CPPUNIT_TEST(FlagOverridesEnvironment);
  CPPUNIT_TEST(RejectsUnknownFlagAndVariable);
  CPPUNIT_TEST(OmitsSecretFromErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    unsetenv("LABURNUMKEEL_WAIT_MS");
    unsetenv("LABURNUMKEEL_WAIT_SM");
  }

  // Guards against reporting only the first of several invalid settings.
  void ReportsAllErrorsAtOnce() {
    Settings settings("test", "");
    this->Declare(settings);
    const std::array arguments{"test", "--wait-ms=0", "--listen=nowhere"};
    CPPUNIT_ASSERT(settings.Parse(3, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.Errors().size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("--wait-ms: value '0', allowed 1 to 100 milliseconds"),
        settings.Errors()[0]);
  }

  // Guards against an environment variable that overrides the command line.
  void FlagOverridesEnvironment() {
    setenv("LABURNUMKEEL_WAIT_MS", "7", 1);
    Settings settings("test", "");
    this->Declare(settings);
    const std::array only_program{"test"};
    CPPUNIT_ASSERT(!settings.Parse(1, only_program.data()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, this->wait_ms);
    Settings again("test", "");
    this->Declare(again);
    const std::array arguments{"test", "--wait-ms=9"};
    CPPUNIT_ASSERT(!again.Parse(2, arguments.data()).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, this->wait_ms);
  }

  // Guards against a misspelled setting that is silently ignored.
  void RejectsUnknownFlagAndVariable() {
    setenv("LABURNUMKEEL_WAIT_SM", "7", 1);
    Settings settings("test", "");
    this->Declare(settings);
    const std::array arguments{"test", "--wiat-ms=9"};
    CPPUNIT_ASSERT(settings.Parse(2, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.Errors().size());
  }

  // Guards against an error message that contains an invalid secret.
  void OmitsSecretFromErrors() {
    std::string secret;
    Settings settings("test", "");
    settings.AddSecret("secret", secret, 16, "");
    const std::array arguments{"test", "--secret=hunter2"};
    CPPUNIT_ASSERT(settings.Parse(2, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::string::npos,
                         settings.Errors()[0].find("hunter2"));
  }

 private:
  void Declare(Settings& settings) {
    settings.AddInteger("wait-ms", this->wait_ms, 1, 100, "milliseconds", "");
    settings.AddAddress("listen", this->listen, "");
  }

  std::int64_t wait_ms = 5;
  std::string listen = "127.0.0.1:80";
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace laburnumkeel::kernel
