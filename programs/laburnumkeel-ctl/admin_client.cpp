#include "programs/laburnumkeel-ctl/admin_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumkeel::ctl {

namespace {

constexpr int kAttempts = 4;
constexpr int kFirstErrorStatus = 400;
// Longer than the administration program takes for all of its own attempts.
constexpr std::chrono::milliseconds kTimeout(60000);
constexpr transport::ConnectionLimits kLimits{std::chrono::milliseconds(3000),
                                              std::size_t{16} * 1024 * 1024};

using CallResult = kernel::Result<std::string, CallError>;

CallResult ToResult(const kernel::Result<transport::HttpResponse,
                                         transport::TransportError>& response) {
  if (!response.has_value()) {
    const bool sent = response.error().stage == transport::FailureStage::kSent;
    return CallError{
        response.error().message +
        (sent ? "\nthe request may have been carried out; check with 'show'"
              : "")};
  }
  if (response.value().status >= kFirstErrorStatus) {
    return CallError{DescribeError(response.value())};
  }
  return response.value().body;
}

}  // namespace

AdminClient::AdminClient(const std::string& address, std::string secret)
    : client(address, kLimits), secret(std::move(secret)) {}

CallResult AdminClient::Call(const std::string& method,
                             const std::string& target,
                             const std::string& body) {
  return ToResult(
      this->client.Send(this->Request(method, target, body), kTimeout));
}

CallResult AdminClient::CallWithRetries(const std::string& method,
                                        const std::string& target,
                                        const std::string& body) {
  const transport::HttpRequest request = this->Request(method, target, body);
  auto response = this->client.Send(request, kTimeout);
  for (int attempt = 1; attempt < kAttempts && !response.has_value();
       ++attempt) {
    response = this->client.Send(request, kTimeout);
  }
  return ToResult(response);
}

transport::HttpRequest AdminClient::Request(const std::string& method,
                                            const std::string& target,
                                            const std::string& body) const {
  return transport::HttpRequest{method,
                                target,
                                {{"Authorization", "Bearer " + this->secret},
                                 {"Content-Type", "application/json"}},
                                body,
                                {}};
}

std::string DescribeError(const transport::HttpResponse& response) {
  const auto document = nlohmann::json::parse(response.body, nullptr, false);
  try {
    const auto& error = document.at("error");
    std::string text = error.at("code").get<std::string>() + ": " +
                       error.at("message").get<std::string>();
    if (error.contains("current_version")) {
      text += "; the current version is " + error["current_version"].dump();
    }
    for (const auto& fault : error.value("faults", nlohmann::json::array())) {
      text += "\n" + fault.get<std::string>();
    }
    return text;
  } catch (const nlohmann::json::exception&) {
    return "status " + std::to_string(response.status) + ": " + response.body;
  }
}

}  // namespace laburnumkeel::ctl
