#include "standins/common/answer_text.h"

#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace laburnumkeel::standins {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kOversizedBytes = std::size_t{2} * 1024 * 1024;

// The body with one field of its JSON object replaced.
std::string WithField(const std::string& body, const std::string& field,
                      const std::string& value) {
  nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    document = nlohmann::json::object();
  }
  document[field] = value;
  return document.dump();
}

std::string ApplyFaultToBody(const std::string& body, FaultMode mode) {
  if (mode == FaultMode::kCrossedAnswer) {
    return WithField(body, "request_id", "id-of-another-request");
  }
  if (mode == FaultMode::kOversizedAnswer) {
    return WithField(body, "result", std::string(kOversizedBytes, 'x'));
  }
  return body;
}

}  // namespace

transport::HttpResponse JsonResponse(int status,
                                     const nlohmann::json& document) {
  return transport::HttpResponse{
      status, {{"Content-Type", "application/json"}}, document.dump()};
}

std::string ResponseText(const transport::HttpResponse& response,
                         FaultMode mode) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned int>(response.status));
  for (const auto& [name, value] : response.headers) {
    message.set(name, value);
  }
  message.body() = ApplyFaultToBody(response.body, mode);
  message.prepare_payload();
  std::ostringstream stream;
  stream << message;
  const std::string text = stream.str();
  if (mode == FaultMode::kHalfAnswer) {
    return text.substr(0, text.size() / 2);
  }
  return mode == FaultMode::kDoubledAnswer ? text + text : text;
}

}  // namespace laburnumkeel::standins
