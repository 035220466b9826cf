#include "laburnumkeel/kernel/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>

namespace laburnumkeel::kernel {
namespace {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReportsEveryFaultAtOnce);
  CPPUNIT_TEST(FlagWinsOverEnvironment);
  CPPUNIT_TEST(RefusesUnknownFlagAndVariable);
  CPPUNIT_TEST(HidesSecrets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    unsetenv("LABURNUMKEEL_WAIT_MS");
    unsetenv("LABURNUMKEEL_WAIT_SM");
  }

  // Guards against a start that reports one fault at a time.
  void ReportsEveryFaultAtOnce() {
    Settings settings("test", "");
    this->Declare(settings);
    const std::array arguments{"test", "--wait-ms=0", "--listen=nowhere"};
    CPPUNIT_ASSERT(settings.Parse(3, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.Faults().size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("--wait-ms: value '0', allowed 1 to 100 milliseconds"),
        settings.Faults()[0]);
  }

  // Guards against an environment variable that overrides the command line.
  void FlagWinsOverEnvironment() {
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

  // Guards against a mistyped setting that is silently ignored.
  void RefusesUnknownFlagAndVariable() {
    setenv("LABURNUMKEEL_WAIT_SM", "7", 1);
    Settings settings("test", "");
    this->Declare(settings);
    const std::array arguments{"test", "--wiat-ms=9"};
    CPPUNIT_ASSERT(settings.Parse(2, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.Faults().size());
  }

  // Guards against a secret in the fault message.
  void HidesSecrets() {
    std::string secret;
    Settings settings("test", "");
    settings.AddSecret("secret", secret, 16, "");
    const std::array arguments{"test", "--secret=hunter2"};
    CPPUNIT_ASSERT(settings.Parse(2, arguments.data()) == 2);
    CPPUNIT_ASSERT_EQUAL(std::string::npos,
                         settings.Faults()[0].find("hunter2"));
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
