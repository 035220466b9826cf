#ifndef LABURNUMKEEL_TESTS_SUPPORT_LOOP_THREAD_H_
#define LABURNUMKEEL_TESTS_SUPPORT_LOOP_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace laburnumkeel::testing {

// A thread that runs an event loop. The destructor stops the loop.
class LoopThread {
 public:
  explicit LoopThread(boost::asio::io_context& loop)
      : loop(loop), thread([&loop] {
          const auto work = boost::asio::make_work_guard(loop);
          loop.run();
        }) {}
  ~LoopThread() {
    this->loop.stop();
    this->thread.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

 private:
  boost::asio::io_context& loop;
  std::thread thread;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_LOOP_THREAD_H_
