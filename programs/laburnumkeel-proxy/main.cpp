#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <cstdio>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/settings.h"
#include "platform/settings.h"
#include "programs/laburnumkeel-proxy/proxy.h"

namespace {

constexpr int kInvalidSettings = 2;

// Logs to standard output, which is non-blocking: when its reader falls behind,
// lines are lost instead of blocking the event loop.
void StartLog(const char* program) {
  google::InitGoogleLogging(program);
  FLAGS_logtostdout = true;
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

}  // namespace

int main(int argument_count, char** arguments) {
  std::string path;
  laburnumkeel::kernel::Settings flags(
      "laburnumkeel-proxy",
      "Proxies client connections to the platform's databases.");
  flags.AddText("config", path, 1, "settings file of the VM (JSON)");
  if (const auto exit_code = flags.Parse(argument_count, arguments)) {
    return *exit_code;
  }
  laburnumkeel::platform_adapter::SettingsResult result =
      laburnumkeel::platform_adapter::ReadSettingsFile(path);
  if (!result.settings) {
    for (const std::string& fault : result.faults) {
      std::fprintf(stderr, "invalid setting: %s\n", fault.c_str());
    }
    return kInvalidSettings;
  }
  StartLog(arguments[0]);
  laburnumkeel::proxy::Proxy proxy(std::move(*result.settings), path);
  return proxy.Run();
}
