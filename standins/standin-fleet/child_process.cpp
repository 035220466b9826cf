#include "standins/standin-fleet/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

namespace laburnumkeel::standin {

namespace {

constexpr std::chrono::milliseconds kPollInterval{10};

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_path) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int error = posix_spawn(&this->process_id, command.front().c_str(),
                                &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->process_id = -1;
    throw std::runtime_error("cannot start " + command.front());
  }
}

ChildProcess::~ChildProcess() { this->Kill(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : process_id(std::exchange(other.process_id, -1)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    this->Kill();
    this->process_id = std::exchange(other.process_id, -1);
  }
  return *this;
}

int ChildProcess::Terminate(std::chrono::milliseconds timeout) {
  if (this->process_id <= 0) {
    return 0;
  }
  this->RequestTermination();
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (this->process_id > 0) {
    int status = 0;
    if (waitpid(this->process_id, &status, WNOHANG) == this->process_id) {
      this->process_id = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    if (std::chrono::steady_clock::now() > deadline) {
      this->Kill();
      return -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return -1;
}

void ChildProcess::RequestTermination() const {
  if (this->process_id > 0) {
    kill(this->process_id, SIGTERM);
  }
}

void ChildProcess::Kill() {
  if (this->process_id > 0) {
    kill(this->process_id, SIGKILL);
    waitpid(this->process_id, nullptr, 0);
    this->process_id = -1;
  }
}

void ChildProcess::Pause() const {
  if (this->process_id > 0) {
    kill(this->process_id, SIGSTOP);
  }
}

void ChildProcess::Resume() const {
  if (this->process_id > 0) {
    kill(this->process_id, SIGCONT);
  }
}

bool ChildProcess::IsRunning() {
  if (this->process_id <= 0) {
    return false;
  }
  if (waitpid(this->process_id, nullptr, WNOHANG) == this->process_id) {
    this->process_id = -1;
    return false;
  }
  return true;
}

}  // namespace laburnumkeel::standin
