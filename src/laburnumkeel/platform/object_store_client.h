#ifndef LABURNUMKEEL_PLATFORM_OBJECT_STORE_CLIENT_H_
#define LABURNUMKEEL_PLATFORM_OBJECT_STORE_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "laburnumkeel/platform/platform_caller.h"

namespace laburnumkeel::platform {

// HTTP client of the platform's object store. Thread-safe.
class ObjectStoreClient {
 public:
  // Parameters as in `PlatformCaller`.
  ObjectStoreClient(std::string address, std::string origin,
                    std::chrono::milliseconds timeout);

  // The content, or empty if there is no object of that name. A missing
  // response is kUnavailable, because a read has no effect.
  kernel::Result<std::optional<std::string>, PlatformError> Get(
      const std::string& name);

  // Replaces the object. kUnknown if it may have been replaced; the call may
  // then be repeated with the same content.
  kernel::Result<void, PlatformError> Put(const std::string& name,
                                          std::string content);

 private:
  PlatformCaller caller;
};

}  // namespace laburnumkeel::platform

#endif  // LABURNUMKEEL_PLATFORM_OBJECT_STORE_CLIENT_H_
