#ifndef LABURNUMKEEL_KERNEL_KERNEL_H_
#define LABURNUMKEEL_KERNEL_KERNEL_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/service.h"

namespace laburnumkeel::kernel {

// Owns the services of a program. Services find each other by name, so that a
// program is assembled in one place and its services do not own each other.
class Kernel {
 public:
  // Adds a service and returns it; `name` must not be registered yet.
  template <class ServiceType>
  ServiceType& Register(const std::string& name,
                        std::unique_ptr<ServiceType> service) {
    ServiceType& added = *service;
    this->Add(name, std::move(service));
    return added;
  }

  // Returns the service of that name, or null when there is none or it has
  // another type.
  template <class ServiceType>
  ServiceType* Find(std::string_view name) const {
    return dynamic_cast<ServiceType*>(this->FindService(name));
  }

  // Starts all services in the order of registration. When one fails, stops
  // those already started and returns false.
  bool Start();

  // Stops all started services in reverse order. A second call does nothing.
  void Stop();

 private:
  struct Entry {
    std::string name;
    std::unique_ptr<Service> service;
  };

  void Add(const std::string& name, std::unique_ptr<Service> service);
  Service* FindService(std::string_view name) const;

  std::vector<Entry> entries;
  std::size_t started_count = 0;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_KERNEL_H_
