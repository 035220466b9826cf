#include "laburnumkeel/kernel/kernel.h"

#include <glog/logging.h>

#include "laburnumkeel/kernel/events.h"

namespace laburnumkeel::kernel {

void Kernel::Add(const std::string& name, std::unique_ptr<Service> service) {
  CHECK(this->FindService(name) == nullptr)
      << "service " << name << " is registered twice";
  this->entries.push_back(Entry{name, std::move(service)});
}

Service* Kernel::FindService(std::string_view name) const {
  for (const Entry& entry : this->entries) {
    if (entry.name == name) {
      return entry.service.get();
    }
  }
  return nullptr;
}

bool Kernel::Start() {
  while (this->started < this->entries.size()) {
    const Entry& entry = this->entries[this->started];
    if (!entry.service->Start()) {
      LogEvent(kServiceStartFailed, {{"service", entry.name}});
      this->Stop();
      return false;
    }
    LogEvent(kServiceStarted, {{"service", entry.name}});
    ++this->started;
  }
  return true;
}

void Kernel::Stop() {
  while (this->started > 0) {
    --this->started;
    const Entry& entry = this->entries[this->started];
    entry.service->Stop();
    LogEvent(kServiceStopped, {{"service", entry.name}});
  }
}

}  // namespace laburnumkeel::kernel
