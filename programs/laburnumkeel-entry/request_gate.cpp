#include "programs/laburnumkeel-entry/request_gate.h"

namespace laburnumkeel::entry {

RequestGate::Holder::~Holder() {
  if (this->gate != nullptr) {
    this->gate->Leave();
  }
}

RequestGate::Holder RequestGate::Enter() {
  const std::lock_guard lock(this->mutex);
  if (this->closed) {
    return Holder(nullptr);
  }
  ++this->in_flight;
  return Holder(this);
}

void RequestGate::Close() {
  const std::lock_guard lock(this->mutex);
  this->closed = true;
}

bool RequestGate::AwaitIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  return this->idle.wait_for(lock, timeout,
                             [this] { return this->in_flight == 0; });
}

void RequestGate::Leave() {
  const std::lock_guard lock(this->mutex);
  --this->in_flight;
  this->idle.notify_all();
}

}  // namespace laburnumkeel::entry
