#include "programs/laburnumkeel-entry/request_gate.h"

namespace laburnumkeel::entry {

RequestGate::Pass::~Pass() {
  if (this->gate != nullptr) {
    this->gate->Leave();
  }
}

RequestGate::Pass RequestGate::Enter() {
  const std::lock_guard lock(this->mutex);
  if (this->closed) {
    return Pass(nullptr);
  }
  ++this->under_way;
  return Pass(this);
}

void RequestGate::Close() {
  const std::lock_guard lock(this->mutex);
  this->closed = true;
}

bool RequestGate::AwaitIdle(std::chrono::milliseconds timeout) {
  std::unique_lock lock(this->mutex);
  return this->idle.wait_for(lock, timeout,
                             [this] { return this->under_way == 0; });
}

void RequestGate::Leave() {
  const std::lock_guard lock(this->mutex);
  --this->under_way;
  this->idle.notify_all();
}

}  // namespace laburnumkeel::entry
