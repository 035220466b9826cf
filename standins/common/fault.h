#ifndef LABURNUMKEEL_STANDINS_COMMON_FAULT_H_
#define LABURNUMKEEL_STANDINS_COMMON_FAULT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumkeel::standins {

enum class FaultMode {
  kNone,
  // Refuses connections and closes the open ones.
  kDown,
  // Waits before execution.
  kSlow,
  // Executes, then closes without a response.
  kLoseAnswers,
  // Connections stay open but send no responses.
  kFreeze,
  // Requests of some origins get no response and are not executed.
  kCut,
  kCloseBeforeExecute,
  // Reads the request, then resets the connection without executing it.
  kResetAfterRead,
  // Executes, sends half of the response and closes.
  kHalfAnswer,
  // Executes and waits before the response.
  kLateAnswer,
  // Responds with the id of another request.
  kCrossedAnswer,
  kDoubledAnswer,
  // Responds with 2 MiB.
  kOversizedAnswer,
};

// A fault to inject, as posted to `/faults`.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  // For `slow` and `late_answer`; at most 600,000 ms.
  std::chrono::milliseconds delay{0};
  // For `freeze`: false silences the connections that are open now until they
  // are closed; true silences all connections until the fault ends.
  bool freeze_all = false;
  // For `cut`: names or data centres.
  std::vector<std::string> origins;
  // Paths that a fault of single requests affects; empty for the default.
  std::vector<std::string> paths;
  // Number of requests that a fault of single requests affects.
  std::optional<std::int64_t> count;

  bool operator==(const Fault&) const = default;
};

std::string_view ToString(FaultMode mode);

// True for modes that affect single requests, so that `paths` and `count`
// apply to them.
bool IsRequestFault(FaultMode mode);

nlohmann::json ToJson(const Fault& fault);

// Empty for malformed JSON, an unknown mode or field, a wrong type or range, or
// a field that the mode does not have.
std::optional<Fault> ParseFault(std::string_view text);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_FAULT_H_
