#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace laburnumkeel::standins {

// Limits how many statements and transactions an endpoint runs at the same
// time. Thread-safe; must outlive its slots.
class SlotPool {
 public:
  // Frees its slot on destruction.
  using Slot = std::shared_ptr<void>;

  explicit SlotPool(std::int64_t slots);

  // Waits for a free slot; null after `timeout`.
  Slot Acquire(std::chrono::milliseconds timeout);

 private:
  void Release();

  std::mutex mutex;
  std::condition_variable freed;
  std::int64_t free;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_SLOT_POOL_H_
