#include "laburnumkeel/configuration/configuration_holder.h"

#include <utility>

#include "laburnumkeel/configuration/events.h"

namespace laburnumkeel::configuration {

bool ConfigurationHolder::Offer(model::Configuration candidate) {
  auto replacement =
      std::make_shared<const model::Configuration>(std::move(candidate));
  std::uint64_t replaced = 0;
  {
    const std::lock_guard lock(this->mutex);
    replaced = this->current->version;
    if (replacement->version <= replaced) {
      return false;
    }
    this->current = replacement;
  }
  kernel::LogEvent(kVersionInEffect,
                   {{"version", replacement->version}, {"replaced", replaced}});
  return true;
}

std::shared_ptr<const model::Configuration> ConfigurationHolder::Current()
    const {
  const std::lock_guard lock(this->mutex);
  return this->current;
}

}  // namespace laburnumkeel::configuration
