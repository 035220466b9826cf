#include <glog/logging.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "platform/settings.h"
#include "programs/laburnumkeel-proxy/proxy.h"

int main(int argument_count, char** arguments) {
  google::InitGoogleLogging(arguments[0]);
  FLAGS_logtostderr = true;
  std::string path = argument_count > 1 ? arguments[1] : "";
  if (const char* variable = std::getenv("LABURNUMKEEL_CONFIG")) {
    path = variable;
  }
  laburnumkeel::platform_adapter::SettingsResult result =
      laburnumkeel::platform_adapter::ReadSettingsFile(path);
  if (!result.settings) {
    for (const std::string& fault : result.faults) {
      std::fprintf(stderr, "invalid setting: %s\n", fault.c_str());
    }
    return 2;
  }
  laburnumkeel::proxy::Proxy proxy(std::move(*result.settings), path);
  return proxy.Run();
}
