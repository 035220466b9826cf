#ifndef LABURNUMKEEL_CONFIGURATION_CONFIGURATION_HOLDER_H_
#define LABURNUMKEEL_CONFIGURATION_CONFIGURATION_HOLDER_H_

#include <memory>
#include <mutex>

#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// The newest configuration that this process has received. Thread-safe.
class ConfigurationHolder {
 public:
  // Replaces the current configuration if the candidate has a higher version.
  // Returns whether it was replaced.
  bool Offer(model::Configuration candidate);

  // Never null; version 0 before the first `Offer`.
  std::shared_ptr<const model::Configuration> Current() const;

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const model::Configuration> current =
      std::make_shared<const model::Configuration>();
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_CONFIGURATION_HOLDER_H_
