#ifndef LABURNUMKEEL_TESTS_LIMITS_FIBER_H_
#define LABURNUMKEEL_TESTS_LIMITS_FIBER_H_

#include <functional>
#include <semaphore>
#include <thread>
#include <utility>

namespace laburnumkeel::limits {

// A function that alternates with its creator, so that a simulation can suspend
// it in the middle of a ledger round. Only one side runs at a time.
class Fiber {
 public:
  explicit Fiber(std::function<void(Fiber&)> function)
      : thread([this, function = std::move(function)] {
          this->resumed.acquire();
          if (!this->is_stopped) {
            try {
              function(*this);
            } catch (const Stopped&) {
            }
          }
          this->is_finished = true;
          this->yielded.release();
        }) {}
  Fiber(const Fiber&) = delete;
  Fiber& operator=(const Fiber&) = delete;

  // Ends the function where it is waiting, by throwing Stopped from WaitFor.
  ~Fiber() {
    this->is_stopped = true;
    this->Resume();
    this->thread.join();
  }

  // Called by the creator: runs the function until it waits again, if its
  // condition holds.
  void RunIfReady() {
    if (!this->is_finished && (!this->is_ready || this->is_ready())) {
      this->Resume();
    }
  }
  bool IsFinished() const { return this->is_finished; }

  // Called by the function: waits until the condition holds.
  void WaitFor(std::function<bool()> condition) {
    this->is_ready = std::move(condition);
    this->yielded.release();
    this->resumed.acquire();
    if (this->is_stopped) {
      throw Stopped{};
    }
  }

 private:
  struct Stopped {};

  void Resume() {
    if (!this->is_finished) {
      this->resumed.release();
      this->yielded.acquire();
    }
  }

  std::binary_semaphore resumed{0};
  std::binary_semaphore yielded{0};
  bool is_stopped = false;
  bool is_finished = false;
  std::function<bool()> is_ready;
  std::thread thread;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_TESTS_LIMITS_FIBER_H_
