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
  while (this->started_count < this->entries.size()) {
    const Entry& entry = this->entries[this->started_count];
    if (!entry.service->Start()) {
      LogEvent(kServiceStartFailed, {{"service", entry.name}});
      this->Stop();
      return false;
    }
    LogEvent(kServiceStarted, {{"service", entry.name}});
    ++this->started_count;
  }
  return true;
}

void Kernel::Stop() {
  while (this->started_count > 0) {
    --this->started_count;
    const Entry& entry = this->entries[this->started_count];
    entry.service->Stop();
    LogEvent(kServiceStopped, {{"service", entry.name}});
  }
}

}  // namespace laburnumkeel::kernel
