#ifndef LABURNUMKEEL_TESTS_SYSTEM_COUNTING_WRITER_H_
#define LABURNUMKEEL_TESTS_SYSTEM_COUNTING_WRITER_H_

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/system/fleet_fixture.h"

namespace laburnumkeel::testing {

// Runs callers that add 1 to counters of a group through random VMs until
// stopped, each to its own counter, and records the reported outcomes.
class CountingWriter {
 public:
  // Outcomes and error codes reported to one caller for its additions.
  struct Tally {
    int done = 0;
    int not_run = 0;
    int unknown = 0;
    std::map<std::string, int> codes;
  };

  CountingWriter(FleetFixture& fixture, std::string group, int callers);
  ~CountingWriter();
  CountingWriter(const CountingWriter&) = delete;
  CountingWriter& operator=(const CountingWriter&) = delete;

  void Stop();

  const std::vector<Tally>& Tallies() const { return this->tallies; }
  Tally Total() const;
  static std::string CounterName(std::size_t caller);

  // Longest time between two successive acknowledgements, over all callers.
  std::chrono::milliseconds LongestGap() const;

 private:
  void Run(std::size_t caller);
  void Record(std::size_t caller, const standin::FleetResponse& response);

  FleetFixture& fixture;
  const std::string group;
  std::atomic<bool> stopping = false;
  std::vector<Tally> tallies;
  mutable std::mutex mutex;
  std::chrono::steady_clock::time_point last_done;
  std::chrono::milliseconds longest_gap{0};
  std::vector<std::thread> threads;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SYSTEM_COUNTING_WRITER_H_
