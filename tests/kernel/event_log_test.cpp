#include "laburnumkeel/kernel/event_log.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::kernel {
namespace {

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(FormatsFieldsInOrder);
  CPPUNIT_TEST(EscapesInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change of the line format that log readers rely on.
  void FormatsFieldsInOrder() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("event=7 name=tested count=3 ok=true"),
        FormatEvent(this->definition, {{"count", 3}, {"ok", true}}));
  }

  // Guards against a caller who forges a log line through a line break.
  void EscapesInput() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(event=7 name=tested text="a\x0aevent=1 \"x\"")"),
        FormatEvent(this->definition, {{"text", "a\nevent=1 \"x\""}}));
  }

 private:
  EventDefinition definition{7, Severity::kInformation, "tested", ""};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace
}  // namespace laburnumkeel::kernel
