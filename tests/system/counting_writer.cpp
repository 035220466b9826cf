#include "tests/system/counting_writer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace laburnumkeel::testing {

namespace {

// Keeps four callers far below the account's rate limit, because these tests
// do not cover rate limiting.
constexpr std::chrono::milliseconds kWriteInterval{60};

}  // namespace

CountingWriter::CountingWriter(FleetFixture& fixture, std::string group,
                               int callers)
    : fixture(fixture),
      group(std::move(group)),
      tallies(static_cast<std::size_t>(callers)),
      last_done(std::chrono::steady_clock::now()) {
  for (std::size_t caller = 0; caller < this->tallies.size(); ++caller) {
    this->threads.emplace_back([this, caller] { this->Run(caller); });
  }
}

CountingWriter::~CountingWriter() { this->Stop(); }

void CountingWriter::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

std::string CountingWriter::CounterName(std::size_t caller) {
  return "counter-" + std::to_string(caller);
}

void CountingWriter::Run(std::size_t caller) {
  std::mt19937 random(static_cast<unsigned int>(caller));
  while (!this->stopping) {
    const int vm = static_cast<int>(random() % standin::kVmCount);
    this->Record(caller,
                 this->fixture.Write(vm, this->group,
                                     "ADD " + CounterName(caller) + " 1"));
    std::this_thread::sleep_for(kWriteInterval);
  }
}

void CountingWriter::Record(std::size_t caller,
                            const standin::FleetResponse& response) {
  const std::lock_guard lock(this->mutex);
  Tally& tally = this->tallies[caller];
  if (response.status == 200) {
    ++tally.done;
    const auto now = std::chrono::steady_clock::now();
    this->longest_gap =
        std::max(this->longest_gap,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     now - this->last_done));
    this->last_done = now;
    return;
  }
  const std::string code = Field(response.body, "/error/code");
  ++tally.codes[code.empty() ? "no_response: " + response.error : code];
  if (Field(response.body, "/error/outcome") == "not_run") {
    ++tally.not_run;
  } else {
    ++tally.unknown;
  }
}

CountingWriter::Tally CountingWriter::Total() const {
  Tally total;
  for (const Tally& tally : this->tallies) {
    total.done += tally.done;
    total.not_run += tally.not_run;
    total.unknown += tally.unknown;
    for (const auto& [code, count] : tally.codes) {
      total.codes[code] += count;
    }
  }
  return total;
}

std::chrono::milliseconds CountingWriter::LongestGap() const {
  const std::lock_guard lock(this->mutex);
  return this->longest_gap;
}

}  // namespace laburnumkeel::testing
