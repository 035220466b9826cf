#include "programs/laburnumkeel-ctl/commands.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "laburnumkeel/configuration/difference.h"
#include "laburnumkeel/configuration/validation.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "laburnumkeel/platform/platform_caller.h"
#include "programs/laburnumkeel-ctl/event_catalogue.h"

namespace laburnumkeel::ctl {

namespace {

// Encodes a name as one path segment. Names come from the command line and may
// contain any character.
std::string EncodeSegment(const std::string& name) {
  std::string segment;
  for (const char c : platform::EncodePath(name)) {
    segment += c == '/' ? std::string("%2F") : std::string(1, c);
  }
  return segment;
}

std::string StateBody(const std::string& state) {
  return nlohmann::json{{"state", state}}.dump();
}

}  // namespace

int Commands::Validate(const std::string& path) {
  if (!this->Load(path).has_value()) {
    return kRefusedCode;
  }
  this->output << "valid\n";
  return kSuccessCode;
}

int Commands::Diff(const std::string& path) {
  const auto document = this->Load(path);
  if (!document.has_value()) {
    return kRefusedCode;
  }
  const auto current = this->Current();
  if (!current.has_value()) {
    return kRefusedCode;
  }
  this->WriteDifference(*current, *document);
  return kSuccessCode;
}

int Commands::Apply(const std::string& path,
                    std::optional<std::uint64_t> base_version) {
  const auto document = this->Load(path);
  if (!document.has_value()) {
    return kRefusedCode;
  }
  const auto current = this->Current();
  if (!current.has_value()) {
    return kRefusedCode;
  }
  this->WriteDifference(*current, *document);
  const std::uint64_t base = base_version.value_or(
      document->version > 0 ? document->version : current->version);
  // The operation id makes a retry after a lost response idempotent.
  return this->WriteResult(this->client.CallWithRetries(
      "PUT",
      "/v1/configuration?base_version=" + std::to_string(base) +
          "&operation_id=" + kernel::RandomIdentifier(),
      model::Encode(*document)));
}

int Commands::Show() {
  return this->WriteResult(
      this->client.CallWithRetries("GET", "/v1/configuration", ""));
}

int Commands::Grant(const std::string& account) {
  return this->WriteResult(this->client.Call(
      "POST", "/v1/client_accounts/" + EncodeSegment(account) + "/keys", ""));
}

int Commands::Revoke(const std::string& account, const std::string& key_id) {
  return this->WriteResult(
      this->client.Call("DELETE",
                        "/v1/client_accounts/" + EncodeSegment(account) +
                            "/keys/" + EncodeSegment(key_id),
                        ""));
}

int Commands::SetDataCentre(const std::string& name, const std::string& state) {
  return this->WriteResult(this->client.Call(
      "PUT", "/v1/data_centres/" + EncodeSegment(name) + "/state",
      StateBody(state)));
}

int Commands::SetEndpoint(const std::string& service, const std::string& group,
                          const std::string& endpoint,
                          const std::string& state) {
  return this->WriteResult(
      this->client.Call("PUT",
                        "/v1/services/" + EncodeSegment(service) + "/groups/" +
                            EncodeSegment(group) + "/endpoints/" +
                            EncodeSegment(endpoint) + "/state",
                        StateBody(state)));
}

int Commands::SetAccount(const std::string& account, std::optional<double> rate,
                         std::optional<double> burst) {
  nlohmann::json body = nlohmann::json::object();
  if (rate.has_value()) {
    body["rate"] = *rate;
  }
  if (burst.has_value()) {
    body["burst"] = *burst;
  }
  return this->WriteResult(this->client.Call(
      "PUT", "/v1/client_accounts/" + EncodeSegment(account), body.dump()));
}

int Commands::Fleet() {
  return this->WriteResult(
      this->client.CallWithRetries("GET", "/v1/fleet", ""));
}

int Commands::Usage() {
  return this->WriteResult(this->client.CallWithRetries("GET", "/usage", ""));
}

int Commands::Events() {
  this->output << EventCatalogue();
  return kSuccessCode;
}

std::optional<model::Configuration> Commands::Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  if (!file) {
    this->errors << path << ": cannot be read\n";
    return std::nullopt;
  }
  auto document = model::DecodeConfiguration(text);
  if (!document.has_value()) {
    this->errors << path << ": " << document.error().message << '\n';
    return std::nullopt;
  }
  const std::vector<configuration::Fault> faults =
      configuration::Validate(document.value());
  for (const configuration::Fault& fault : faults) {
    this->errors << path << ": " << ToString(fault) << '\n';
  }
  if (!faults.empty()) {
    return std::nullopt;
  }
  return std::move(document.value());
}

std::optional<model::Configuration> Commands::Current() {
  const auto text =
      this->client.CallWithRetries("GET", "/v1/configuration", "");
  if (!text.has_value()) {
    this->errors << text.error().description << '\n';
    return std::nullopt;
  }
  auto document = model::DecodeConfiguration(text.value());
  if (!document.has_value()) {
    this->errors << document.error().message << '\n';
    return std::nullopt;
  }
  return std::move(document.value());
}

void Commands::WriteDifference(const model::Configuration& before,
                               const model::Configuration& after) {
  this->output << "changes to version " << before.version << ":\n";
  for (const std::string& line : configuration::Difference(before, after)) {
    this->output << line << '\n';
  }
}

int Commands::WriteResult(
    const kernel::Result<std::string, CallError>& result) {
  if (!result.has_value()) {
    this->errors << result.error().description << '\n';
    return kRefusedCode;
  }
  this->output << result.value() << '\n';
  return kSuccessCode;
}

}  // namespace laburnumkeel::ctl
