#include "laburnumkeel/kernel/periodic_task.h"

#include <utility>

namespace laburnumkeel::kernel {

PeriodicTask::PeriodicTask(Step step) : step(std::move(step)) {}

PeriodicTask::~PeriodicTask() { this->Stop(); }

void PeriodicTask::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void PeriodicTask::Wake() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_woken = true;
  }
  this->wake_condition.notify_all();
}

void PeriodicTask::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake_condition.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PeriodicTask::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->is_stopping) {
    this->is_woken = false;
    lock.unlock();
    const Duration wait = this->step();
    lock.lock();
    this->wake_condition.wait_for(
        lock, wait, [this] { return this->is_stopping || this->is_woken; });
  }
}

}  // namespace laburnumkeel::kernel
