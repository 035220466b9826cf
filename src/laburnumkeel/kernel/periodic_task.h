#ifndef LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_
#define LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::kernel {

// A thread that runs a step repeatedly. The step returns the time to wait
// before the next run.
class PeriodicTask {
 public:
  using Step = std::function<Duration()>;

  explicit PeriodicTask(Step step);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  void Start();

  // Ends the current wait, so that the next run starts at once. A call during a
  // run takes effect after it.
  void Wake();

  // Stops the thread and returns when the run in progress has ended. A second
  // call does nothing.
  void Stop();

 private:
  void Run();

  const Step step;
  std::mutex mutex;
  std::condition_variable wake_condition;
  bool is_woken = false;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_PERIODIC_TASK_H_
