#include "standins/standin-platform/object_store.h"

namespace laburnumkeel::standins {

void ObjectStore::Put(const std::string& name, const std::string& content) {
  const std::lock_guard lock(this->mutex);
  this->objects[name] = content;
}

std::optional<std::string> ObjectStore::Get(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  const auto object = this->objects.find(name);
  if (object == this->objects.end()) {
    return std::nullopt;
  }
  return object->second;
}

}  // namespace laburnumkeel::standins
