#ifndef LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_
#define LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_

namespace laburnumkeel::kernel {

// Turns SIGTERM and SIGINT into a return from `Wait`. Construct it before the
// first thread starts, since threads inherit the signal mask. SIGPIPE is
// ignored: a peer that closes its connection must not end the process.
class ShutdownSignal {
 public:
  ShutdownSignal();

  // Returns after the first signal. Later signals stay blocked, so a second
  // SIGTERM does not cut the graceful shutdown short.
  void Wait() const;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_SHUTDOWN_SIGNAL_H_
