#include "laburnumkeel/endpoints/endpoint_error.h"

namespace laburnumkeel::endpoints {

EndpointError NotRun(std::string_view code, std::string_view message) {
  return EndpointError{
      model::Outcome::kNotRun, std::string(code), std::string(message), {}};
}

EndpointError Unknown(std::string_view code, std::string_view message) {
  return EndpointError{
      model::Outcome::kUnknown, std::string(code), std::string(message), {}};
}

bool IsEndpointRefusal(std::string_view code) {
  return code == codes::kStaleTerm || code == codes::kNotPrimary ||
         code == codes::kNoSlot || code == codes::kDraining ||
         code == codes::kBadStatement || code == codes::kConflict;
}

}  // namespace laburnumkeel::endpoints
