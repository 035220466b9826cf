#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace laburnumkeel::standins {

// The slots of an endpoint. Thread-safe; outlives its slots.
class SlotPool {
 public:
  // Frees its slot on destruction.
  using Slot = std::shared_ptr<void>;

  explicit SlotPool(std::int64_t slots);

  // Waits for a free slot; null after `timeout`.
  Slot Take(std::chrono::milliseconds timeout);

 private:
  void Release();

  std::mutex mutex;
  std::condition_variable freed;
  std::int64_t free;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_
