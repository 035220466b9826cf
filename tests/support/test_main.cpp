#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace {

// Prints one line for each test after it ends, so that the test's own output
// cannot separate its name from its result.
class ResultPrinter : public CppUnit::TestListener {
 public:
  void startTest(CppUnit::Test* /*test*/) override { this->failed = false; }
  void addFailure(const CppUnit::TestFailure& /*failure*/) override {
    this->failed = true;
  }
  void endTest(CppUnit::Test* test) override {
    std::cout << test->getName() << " : " << (this->failed ? "FAILED" : "OK")
              << std::endl;
  }

 private:
  bool failed = false;
};

}  // namespace

// Runs every registered test, or the one whose path is the first argument.
int main(int argument_count, char** arguments) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  ResultPrinter printer;
  controller.addListener(&collector);
  controller.addListener(&printer);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string path = argument_count > 1 ? arguments[1] : "";
  runner.run(controller, path);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
