#ifndef LABURNUMKEEL_STANDINS_COMMON_PROGRAM_H_
#define LABURNUMKEEL_STANDINS_COMMON_PROGRAM_H_

#include <glog/logging.h>

#include <iostream>
#include <memory>
#include <string>

#include "laburnumkeel/kernel/events.h"
#include "laburnumkeel/kernel/kernel.h"
#include "laburnumkeel/kernel/settings.h"
#include "laburnumkeel/kernel/shutdown_signal.h"

namespace laburnumkeel::standins {

// The main function of a stand-in: reads the settings, runs the service until
// SIGTERM or SIGINT and returns the exit code.
template <class SettingsType, class ServiceType>
int RunProgram(const std::string& name, const std::string& description,
               int argument_count, const char* const* arguments) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name.c_str());
  SettingsType values;
  kernel::Settings settings(name, description);
  values.Declare(settings);
  if (const auto code = settings.Parse(argument_count, arguments)) {
    return *code;
  }
  if (const auto error = values.CheckLists()) {
    std::cerr << name << ": " << *error << '\n';
    return 2;
  }
  const kernel::ShutdownSignal signal;
  kernel::Kernel kernel;
  kernel.Register(name, std::make_unique<ServiceType>(values));
  if (!kernel.Start()) {
    return 1;
  }
  kernel::LogEvent(kernel::kProgramStarted, {{"program", name}});
  signal.Wait();
  kernel::LogEvent(kernel::kShutdownRequested, {{"program", name}});
  kernel.Stop();
  kernel::LogEvent(kernel::kProgramStopped, {{"program", name}});
  return 0;
}

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_PROGRAM_H_
