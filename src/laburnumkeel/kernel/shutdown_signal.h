#ifndef LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_
#define LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_

namespace laburnumkeel::kernel {

// Waits for SIGTERM or SIGINT. Construct it before the first thread starts,
// since threads inherit the signal mask. It also ignores SIGPIPE, so that a
// peer that closes its connection does not end the process.
class ShutdownSignal {
 public:
  ShutdownSignal();

  // Returns after the first signal. Later signals stay blocked, so a second
  // SIGTERM does not interrupt the graceful shutdown.
  void Wait() const;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_
