#ifndef LABURNUMKEEL_PEER_REPORT_PACING_H_
#define LABURNUMKEEL_PEER_REPORT_PACING_H_

#include <algorithm>
#include <chrono>

namespace laburnumkeel::peer {

// Decides how soon a VM may report again while operations wait for a grant.
//
// Load pattern: the leader has less processor time than the reports of all VMs
// take. Each report that it does not answer doubles the interval, so that the
// reports together fall to what it can answer.
class ReportPacing {
 public:
  // While the leader answers.
  static constexpr std::chrono::milliseconds kShortest{30};
  // The regular report period, at which a leader of a large fleet answers all
  // VMs.
  static constexpr std::chrono::milliseconds kLongest{480};

  bool operator==(const ReportPacing&) const = default;

  void OnSent() { ++this->unanswered; }
  void OnAnswered() { this->unanswered = 0; }

  std::chrono::milliseconds Interval() const {
    const int doublings = std::clamp(this->unanswered - kInFlight, 0, 4);
    return std::min(kShortest * (1 << doublings), kLongest);
  }

 private:
  // Reports that a leader in another region has not answered yet.
  static constexpr int kInFlight = 2;

  int unanswered = 0;
};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_REPORT_PACING_H_
