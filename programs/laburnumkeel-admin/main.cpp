#include <glog/logging.h>

#include <memory>

#include "laburnumkeel/kernel/events.h"
#include "laburnumkeel/kernel/kernel.h"
#include "laburnumkeel/kernel/settings.h"
#include "laburnumkeel/kernel/shutdown_signal.h"
#include "programs/laburnumkeel-admin/admin_server.h"

int main(int argument_count, char** arguments) {
  using namespace laburnumkeel;  // NOLINT(google-build-using-namespace)
  constexpr const char* kProgram = "laburnumkeel-admin";
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(kProgram);
  admin::AdminSettings values;
  kernel::Settings settings(kProgram,
                            "HTTP administration API of a laburnumkeel VM");
  values.Declare(settings);
  if (const auto code = settings.Parse(argument_count, arguments)) {
    return *code;
  }
  const kernel::ShutdownSignal signal;
  kernel::Kernel kernel;
  kernel.Register("admin", std::make_unique<admin::AdminServer>(values));
  if (!kernel.Start()) {
    return 1;
  }
  kernel::LogEvent(kernel::kProgramStarted, {{"program", kProgram}});
  signal.Wait();
  kernel::LogEvent(kernel::kShutdownRequested, {{"program", kProgram}});
  kernel.Stop();
  kernel::LogEvent(kernel::kProgramStopped, {{"program", kProgram}});
  return 0;
}
