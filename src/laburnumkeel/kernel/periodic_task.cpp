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
    this->woken = true;
  }
  this->signal.notify_all();
}

void PeriodicTask::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->signal.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PeriodicTask::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    this->woken = false;
    lock.unlock();
    const Duration wait = this->step();
    lock.lock();
    this->signal.wait_for(lock, wait,
                          [this] { return this->stopping || this->woken; });
  }
}

}  // namespace laburnumkeel::kernel
