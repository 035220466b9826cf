#include "programs/laburnumkeel-ctl/event_catalogue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace laburnumkeel::ctl {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

class EventCatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventCatalogueTest);
  CPPUNIT_TEST(ThePageEqualsTheCatalogue);
  CPPUNIT_TEST(NumbersAndNamesAreUnique);
  CPPUNIT_TEST(EveryDefinitionIsInTheCatalogueAndLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a page that differs from the events that the programs log.
  void ThePageEqualsTheCatalogue() {
    const std::string page =
        ReadFile(std::filesystem::path(SOURCE_FOLDER) / "docs/EVENTS.md");
    const std::size_t table = page.find("| number |");
    CPPUNIT_ASSERT(table != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(EventCatalogue(), page.substr(table));
  }

  // Guards against two events that cannot be distinguished in a log.
  void NumbersAndNamesAreUnique() {
    std::set<int> numbers;
    std::set<std::string> names;
    for (const EventGroup& group : AllEvents()) {
      for (const kernel::EventDefinition& event : group.events) {
        CPPUNIT_ASSERT_MESSAGE(std::string(event.name),
                               numbers.insert(event.number).second);
        CPPUNIT_ASSERT_MESSAGE(std::string(event.name),
                               names.insert(std::string(event.name)).second);
      }
    }
  }

  // Guards against an event that is missing from the list of its library or
  // program, and against one that is listed but never logged.
  void EveryDefinitionIsInTheCatalogueAndLogged() {
    const std::regex definition(R"(EventDefinition (k\w+)\{)");
    std::set<std::string> defined;
    std::string code;
    for (const char* folder : {"src/laburnumkeel", "programs"}) {
      const auto root = std::filesystem::path(SOURCE_FOLDER) / folder;
      for (const auto& entry :
           std::filesystem::recursive_directory_iterator(root)) {
        if (entry.path().filename() == "events.h") {
          const std::string text = ReadFile(entry.path());
          for (std::sregex_iterator match(text.begin(), text.end(), definition);
               match != std::sregex_iterator(); ++match) {
            defined.insert((*match)[1]);
          }
        } else if (entry.is_regular_file()) {
          code += ReadFile(entry.path());
        }
      }
    }
    std::size_t listed = 0;
    for (const EventGroup& group : AllEvents()) {
      listed += group.events.size();
    }
    CPPUNIT_ASSERT_EQUAL(defined.size(), listed);
    for (const std::string& name : defined) {
      const std::regex use("\\b" + name + "\\b");
      CPPUNIT_ASSERT_MESSAGE(name + " is never logged",
                             std::regex_search(code, use));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCatalogueTest);

}  // namespace
}  // namespace laburnumkeel::ctl
