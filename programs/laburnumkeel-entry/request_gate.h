#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace laburnumkeel::entry {

// Counts the requests under way, and refuses new ones once closed.
class RequestGate {
 public:
  // Holds one request while it is under way.
  class Pass {
   public:
    explicit Pass(RequestGate* gate) : gate(gate) {}
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;
    ~Pass();

    bool IsGranted() const { return this->gate != nullptr; }

   private:
    RequestGate* gate;
  };

  // `IsGranted()` is false after `Close`.
  Pass Enter();

  void Close();

  // Returns true when no request is under way, false after `timeout`.
  bool AwaitIdle(std::chrono::milliseconds timeout);

 private:
  void Leave();

  std::mutex mutex;
  std::condition_variable idle;
  int under_way = 0;
  bool closed = false;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_
