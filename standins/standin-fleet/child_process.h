#ifndef LABURNUMKEEL_STANDINS_FLEET_CHILD_PROCESS_H_
#define LABURNUMKEEL_STANDINS_FLEET_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace laburnumkeel::standin {

// A program started by a test or a demonstration. Its output is appended to a
// log file. The destructor kills it.
class ChildProcess {
 public:
  // Starts `command` (path, then arguments); throws when that fails.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  // Sends SIGTERM and waits. Returns the exit code; after `timeout` the process
  // is killed and the result is -1. 0 when the process was killed before.
  int Terminate(std::chrono::milliseconds timeout);

  // Sends SIGTERM without waiting.
  void RequestTermination() const;

  // Sends SIGKILL and waits.
  void Kill();

  // Suspends and continues the process, to simulate a suspended VM.
  void Pause() const;
  void Resume() const;

  bool IsRunning();

  pid_t Id() const { return this->process_id; }

 private:
  pid_t process_id = -1;
};

}  // namespace laburnumkeel::standin

#endif  // LABURNUMKEEL_STANDINS_FLEET_CHILD_PROCESS_H_
