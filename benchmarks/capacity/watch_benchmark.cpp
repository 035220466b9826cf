#include "benchmarks/capacity/watch_benchmark.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "benchmarks/capacity/process_usage.h"
#include "benchmarks/capacity/series.h"
#include "laburnumkeel/endpoints/endpoint_monitor.h"

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kEndpoints = standin::kGroupCount * standin::kDataCentreCount;
constexpr double kMicrosecondsInSecond = 1e6;
constexpr std::chrono::seconds kSettlingTime{1};
constexpr std::chrono::seconds kPeriod{4};

}  // namespace

void MeasureWatches(const standin::Deployment& deployment) {
  using Monitor = endpoints::EndpointMonitor<>;
  Series series("watching endpoints whose logs do not change",
                "endpoints watched");
  std::atomic<int> statuses = 0;
  std::vector<std::unique_ptr<Monitor>> monitors;
  for (const int count : {90, 225, 450, 900}) {
    while (static_cast<int>(monitors.size()) < count) {
      const int endpoint = static_cast<int>(monitors.size()) % kEndpoints;
      const int group = endpoint / standin::kDataCentreCount;
      const int member = endpoint % standin::kDataCentreCount;
      endpoints::MonitorSettings settings;
      settings.endpoint = standin::EndpointName(group, member);
      settings.address = standin::EndpointAddress(deployment, group, member,
                                                  standin::kServicePort);
      settings.origin = endpoints::Origin{"vm1", "dc1"};
      monitors.push_back(std::make_unique<Monitor>(
          settings,
          [&statuses](const model::EndpointStatus&, kernel::Instant) {
            ++statuses;
          },
          [](const endpoints::EndpointError&) {}));
    }
    std::this_thread::sleep_for(kSettlingTime);
    const ProcessUsage before = ReadUsage(getpid());
    const int first = statuses;
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kPeriod);
    const double elapsed_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    const ProcessUsage after = ReadUsage(getpid());
    series.Add("statuses a second", count, (statuses - first) / elapsed_s);
    series.Add("processor, us a second", count,
               (after.processor_seconds - before.processor_seconds) *
                   kMicrosecondsInSecond / elapsed_s);
    series.Add("resident, bytes", count, after.resident_bytes);
  }
  for (const auto& monitor : monitors) {
    monitor->RequestStop();
  }
  monitors.clear();
  series.Print();
}

}  // namespace laburnumkeel::benchmarks
