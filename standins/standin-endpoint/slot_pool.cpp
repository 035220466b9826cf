#include "standins/standin-endpoint/slot_pool.h"

namespace laburnumkeel::standins {

SlotPool::SlotPool(std::int64_t slots) : free(slots) {}

SlotPool::Slot SlotPool::Acquire(std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  if (!this->freed.wait_for(lock, timeout, [this] { return this->free > 0; })) {
    return nullptr;
  }
  --this->free;
  return Slot(this,
              [](void* pool) { static_cast<SlotPool*>(pool)->Release(); });
}

void SlotPool::Release() {
  const std::lock_guard lock(this->mutex);
  ++this->free;
  this->freed.notify_one();
}

}  // namespace laburnumkeel::standins
