#ifndef LABURNUMKEEL_KERNEL_MEMORY_ACCOUNT_H_
#define LABURNUMKEEL_KERNEL_MEMORY_ACCOUNT_H_

#include <atomic>
#include <cstddef>

namespace laburnumkeel::kernel {

// The bytes that a process holds for its clients: messages received in part,
// messages that wait, answers that are not taken, and the state of sessions.
// Thread-safe.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t budget_bytes) : budget(budget_bytes) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Adds the bytes if the sum stays within the budget; returns false and adds
  // nothing otherwise.
  bool TryAdd(std::size_t bytes) {
    std::size_t held = this->used.load(std::memory_order_relaxed);
    do {
      const std::size_t limit = this->Budget();
      if (bytes > limit || held > limit - bytes) {
        return false;
      }
    } while (!this->used.compare_exchange_weak(held, held + bytes,
                                               std::memory_order_relaxed));
    return true;
  }

  // Adds bytes that are held already, also above the budget.
  void Add(std::size_t bytes) {
    this->used.fetch_add(bytes, std::memory_order_relaxed);
  }

  // Removes bytes that were added.
  void Release(std::size_t bytes) {
    this->used.fetch_sub(bytes, std::memory_order_relaxed);
  }

  // Sum of all bytes that were added and not released.
  std::size_t Used() const {
    return this->used.load(std::memory_order_relaxed);
  }

  std::size_t Budget() const {
    return this->budget.load(std::memory_order_relaxed);
  }

  void SetBudget(std::size_t bytes) {
    this->budget.store(bytes, std::memory_order_relaxed);
  }

 private:
  std::atomic<std::size_t> used{0};
  std::atomic<std::size_t> budget;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_MEMORY_ACCOUNT_H_
