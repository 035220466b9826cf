#ifndef LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_
#define LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// A thread that runs a step again and again. The step returns the time to wait
// before the next one.
class PeriodicTask {
 public:
  using Step = std::function<Duration()>;

  explicit PeriodicTask(Step step);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  void Start();

  // Runs the next step without waiting.
  void Wake();

  // Returns when the step under way has ended. A second call does nothing.
  void Stop();

 private:
  void Run();

  const Step step;
  std::mutex mutex;
  std::condition_variable signal;
  bool woken = false;
  bool stopping = false;
  std::thread thread;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_
