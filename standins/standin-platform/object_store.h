#ifndef LABURNUMKEEL_STANDINS_PLATFORM_OBJECT_STORE_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace laburnumkeel::standins {

// The objects of the object store in memory. Thread-safe.
class ObjectStore {
 public:
  void Put(const std::string& name, const std::string& content);
  std::optional<std::string> Get(const std::string& name) const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::string> objects;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_OBJECT_STORE_H_
