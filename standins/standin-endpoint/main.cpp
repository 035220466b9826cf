#include "standins/common/program.h"
#include "standins/standin-endpoint/standin_endpoint.h"

int main(int argument_count, char** arguments) {
  return laburnumkeel::standins::RunProgram<
      laburnumkeel::standins::EndpointSettings,
      laburnumkeel::standins::StandinEndpoint>(
      "standin-endpoint", "Stand-in of a database endpoint", argument_count,
      arguments);
}
