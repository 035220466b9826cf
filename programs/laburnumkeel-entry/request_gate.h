#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace laburnumkeel::entry {

// Counts the requests in flight and refuses new ones once closed.
class RequestGate {
 public:
  // Counts one request as in flight during its lifetime, unless refused.
  class Holder {
   public:
    explicit Holder(RequestGate* gate) : gate(gate) {}
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    ~Holder();

    bool IsAccepted() const { return this->gate != nullptr; }

   private:
    RequestGate* gate;
  };

  // The request is refused, and `IsAccepted()` false, after `Close`.
  Holder Enter();

  void Close();

  // Waits until no request is in flight; returns false after `timeout`.
  bool AwaitIdle(std::chrono::milliseconds timeout);

 private:
  void Leave();

  std::mutex mutex;
  std::condition_variable idle;
  int in_flight = 0;
  bool closed = false;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_REQUEST_GATE_H_
