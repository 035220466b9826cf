#ifndef LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_CALLS_H_
#define LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_CALLS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "laburnumkeel/transport/http_message.h"
#include "standins/standin-platform/object_store.h"
#include "standins/standin-platform/table.h"
#include "standins/standin-platform/vm_list.h"

namespace laburnumkeel::standins {

// Executes the calls of the table service, the object store and the VM list.
// Thread-safe.
class PlatformCalls {
 public:
  PlatformCalls(std::vector<ListedVm> vms,
                std::chrono::milliseconds vm_list_lag);

  // Status 404 for an unknown call, row or object, 400 for a malformed body.
  transport::HttpResponse Execute(const transport::HttpRequest& request);

  VmList& Vms() { return this->vms; }

  // Numbers of executed calls: the totals `reads` and `writes`, and one number
  // for each kind of call.
  nlohmann::json Counters() const;

 private:
  transport::HttpResponse CommitTransaction(const std::string& body);
  transport::HttpResponse ReadRow(const std::string& key);
  transport::HttpResponse GetObject(const std::string& name);
  transport::HttpResponse PutObject(const std::string& name,
                                    const std::string& content);

  Table table;
  ObjectStore objects;
  VmList vms;
  std::atomic<std::int64_t> table_reads = 0;
  std::atomic<std::int64_t> table_writes = 0;
  std::atomic<std::int64_t> object_reads = 0;
  std::atomic<std::int64_t> object_writes = 0;
  std::atomic<std::int64_t> vm_list_reads = 0;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_PLATFORM_PLATFORM_CALLS_H_
