#include "laburnumkeel/platform/object_store_client.h"

#include <utility>

namespace laburnumkeel::platform {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;

}  // namespace

ObjectStoreClient::ObjectStoreClient(std::string address, std::string origin,
                                     std::chrono::milliseconds timeout)
    : caller(std::move(address), std::move(origin), timeout) {}

kernel::Result<std::optional<std::string>, PlatformError>
ObjectStoreClient::Get(const std::string& name) {
  auto response = this->caller.Call("GET", "/objects/" + EncodePath(name), "");
  if (!response.has_value()) {
    return PlatformError{PlatformFailure::kUnavailable,
                         response.error().message};
  }
  if (response.value().status == kNotFound) {
    return std::optional<std::string>();
  }
  if (response.value().status != kOk) {
    return UnexpectedStatus(response.value());
  }
  return std::optional<std::string>(std::move(response.value().body));
}

kernel::Result<void, PlatformError> ObjectStoreClient::Put(
    const std::string& name, std::string content) {
  const auto response = this->caller.Call("PUT", "/objects/" + EncodePath(name),
                                          std::move(content));
  if (!response.has_value()) {
    return response.error();
  }
  const int status = response.value().status;
  if (status == kOk || status == kCreated || status == kNoContent) {
    return kernel::success();
  }
  const PlatformError error = UnexpectedStatus(response.value());
  return error.failure == PlatformFailure::kUnavailable
             ? error
             : PlatformError{PlatformFailure::kUnknown, error.message};
}

}  // namespace laburnumkeel::platform
