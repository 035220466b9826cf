#ifndef LABURNUMKEEL_ENDPOINTS_ENDPOINT_MONITOR_H_
#define LABURNUMKEEL_ENDPOINTS_ENDPOINT_MONITOR_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "laburnumkeel/endpoints/endpoint_admin_client.h"
#include "laburnumkeel/endpoints/events.h"
#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::endpoints {

struct MonitorSettings {
  // Name of the endpoint. A status that reports another name is an error.
  std::string endpoint;
  // `IP:port`.
  std::string address;
  Origin origin;
  // How long the endpoint may delay its response while its log end is
  // unchanged.
  std::chrono::milliseconds wait{500};
  std::chrono::milliseconds response_timeout{1000};
  // Time between two calls while the log grows. A shorter interval confirms
  // writes sooner but costs more calls.
  std::chrono::milliseconds minimum_interval{2};
  std::chrono::milliseconds retry_interval{500};

  bool operator==(const MonitorSettings&) const = default;
};

// Polls the status of an endpoint in its own thread.
template <kernel::Clock ClockType = kernel::BootClock>
class EndpointMonitor {
 public:
  // `measured_at` is the time at which the request was sent, so the status is
  // at least that recent.
  using StatusHandler = std::function<void(const model::EndpointStatus& status,
                                           kernel::Instant measured_at)>;
  using FailureHandler = std::function<void(const EndpointError& error)>;

  // Starts polling immediately. The handlers are called in the monitor's
  // thread.
  EndpointMonitor(MonitorSettings settings, StatusHandler on_status,
                  FailureHandler on_failure, ClockType clock = ClockType())
      : settings(std::move(settings)),
        on_status(std::move(on_status)),
        on_failure(std::move(on_failure)),
        clock(std::move(clock)),
        client(this->settings.address, this->settings.origin,
               this->settings.response_timeout),
        poller([this] { this->Run(); }) {}
  ~EndpointMonitor() { this->Stop(); }
  EndpointMonitor(const EndpointMonitor&) = delete;
  EndpointMonitor& operator=(const EndpointMonitor&) = delete;

  // Aborts the call in progress without waiting for the thread, so that many
  // monitors can be stopped in parallel.
  void RequestStop() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->stop_signal.notify_all();
    this->client.Interrupt();
  }

  // No handler is called after this returns. Takes up to the connect timeout of
  // 1 s while a connection is being opened. Must not be called from a handler.
  void Stop() {
    this->RequestStop();
    if (this->poller.joinable()) {
      this->poller.join();
    }
  }

 private:
  void Run() {
    std::optional<model::LogPosition> last_log_end;
    bool failing = false;
    while (!this->IsStopping()) {
      const kernel::Instant sent_at = this->clock.Now();
      const auto status = this->ReadStatus(last_log_end);
      if (this->IsStopping()) {
        return;
      }
      if (status.has_value()) {
        this->LogRecovery(failing);
        failing = false;
        last_log_end = status.value().log_end;
        this->on_status(status.value(), sent_at);
        this->Pause(this->settings.minimum_interval);
        continue;
      }
      this->LogFailure(failing, status.error());
      failing = true;
      // Without a position the endpoint responds to the next call immediately.
      last_log_end.reset();
      this->on_failure(status.error());
      this->Pause(this->settings.retry_interval);
    }
  }

  EndpointAdminClient::StatusResult ReadStatus(
      const std::optional<model::LogPosition>& last_log_end) {
    auto status = this->client.Status(
        last_log_end, last_log_end.has_value() ? this->settings.wait
                                               : std::chrono::milliseconds(0));
    if (status.has_value() &&
        status.value().endpoint != this->settings.endpoint) {
      return Unknown(
          codes::kInvalidResponse,
          "the address belongs to endpoint " + status.value().endpoint);
    }
    return status;
  }

  void LogFailure(bool failing, const EndpointError& error) const {
    if (!failing) {
      kernel::LogEvent(kStatusFailed, {{"endpoint", this->settings.endpoint},
                                       {"code", error.code},
                                       {"message", error.message}});
    }
  }

  void LogRecovery(bool failing) const {
    if (failing) {
      kernel::LogEvent(kStatusRecovered,
                       {{"endpoint", this->settings.endpoint}});
    }
  }

  bool IsStopping() {
    const std::lock_guard lock(this->mutex);
    return this->stopping;
  }

  void Pause(std::chrono::milliseconds time) {
    std::unique_lock lock(this->mutex);
    this->stop_signal.wait_for(lock, time, [this] { return this->stopping; });
  }

  const MonitorSettings settings;
  const StatusHandler on_status;
  const FailureHandler on_failure;
  const ClockType clock;
  EndpointAdminClient client;
  std::mutex mutex;
  std::condition_variable stop_signal;
  bool stopping = false;
  // Last, because the thread uses the other members.
  std::thread poller;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_ENDPOINT_MONITOR_H_
