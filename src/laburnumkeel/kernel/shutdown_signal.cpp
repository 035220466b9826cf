#include "laburnumkeel/kernel/shutdown_signal.h"

#include <csignal>

namespace laburnumkeel::kernel {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

ShutdownSignal::ShutdownSignal() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  struct sigaction ignore {};
  ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &ignore, nullptr);
}

void ShutdownSignal::Wait() const {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace laburnumkeel::kernel
