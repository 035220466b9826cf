#include "standins/common/received_bytes.h"

namespace laburnumkeel::standins {

namespace {

constexpr std::size_t kMaximumBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

ReceivedBytes::ReceivedBytes(bool enabled) : enabled(enabled) {}

void ReceivedBytes::Add(std::string_view added) {
  if (!this->enabled) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->bytes += added.substr(0, kMaximumBytes - this->bytes.size());
}

std::string ReceivedBytes::Copy() const {
  const std::lock_guard lock(this->mutex);
  return this->bytes;
}

}  // namespace laburnumkeel::standins
