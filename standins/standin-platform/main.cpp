#include "standins/common/program.h"
#include "standins/standin-platform/standin_platform.h"

int main(int argument_count, char** arguments) {
  return laburnumkeel::standins::RunProgram<
      laburnumkeel::standins::PlatformSettings,
      laburnumkeel::standins::StandinPlatform>(
      "standin-platform", "Stand-in of the platform's services", argument_count,
      arguments);
}
