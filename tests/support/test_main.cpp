#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

// Runs every registered test, or the one whose path is the first argument.
int main(int argument_count, char** arguments) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string path = argument_count > 1 ? arguments[1] : "";
  runner.run(controller, path);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
