#ifndef LABURNUMKEEL_KERNEL_MEMORY_HOLDING_H_
#define LABURNUMKEEL_KERNEL_MEMORY_HOLDING_H_

#include <cstddef>
#include <utility>

#include "laburnumkeel/kernel/memory_account.h"

namespace laburnumkeel::kernel {

// The part of a memory account that one buffer, queue or table holds. It is
// released when the holding is destroyed. One thread at a time may use a
// holding; the account is shared by all threads and outlives it.
class MemoryHolding {
 public:
  explicit MemoryHolding(MemoryAccount& account) : account(&account) {}
  MemoryHolding(const MemoryHolding&) = delete;
  MemoryHolding& operator=(const MemoryHolding&) = delete;
  MemoryHolding(MemoryHolding&& other) noexcept
      : account(other.account), bytes(std::exchange(other.bytes, 0)) {}
  MemoryHolding& operator=(MemoryHolding&& other) noexcept {
    if (this != &other) {
      this->account->Release(this->bytes);
      this->account = other.account;
      this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
  }
  ~MemoryHolding() { this->account->Release(this->bytes); }

  // Changes the holding to `new_bytes`. Returns false and changes nothing when
  // it would grow beyond the budget of the account.
  bool TryResize(std::size_t new_bytes) {
    if (new_bytes > this->bytes &&
        !this->account->TryAdd(new_bytes - this->bytes)) {
      return false;
    }
    if (new_bytes < this->bytes) {
      this->account->Release(this->bytes - new_bytes);
    }
    this->bytes = new_bytes;
    return true;
  }

  // Changes the holding to what is held already, also above the budget.
  void Resize(std::size_t new_bytes) {
    if (new_bytes > this->bytes) {
      this->account->Add(new_bytes - this->bytes);
    } else {
      this->account->Release(this->bytes - new_bytes);
    }
    this->bytes = new_bytes;
  }

  std::size_t Bytes() const { return this->bytes; }

 private:
  MemoryAccount* account;
  std::size_t bytes = 0;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_MEMORY_HOLDING_H_
