#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_LOCAL_CONTROL_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_LOCAL_CONTROL_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/result.h"

namespace laburnumkeel::admin {

// The reason why the control program of this VM gave no usable response.
struct ControlError {
  // True when the call may have been carried out.
  bool may_have_run = false;
  std::string message;

  bool operator==(const ControlError&) const = default;
};

// The result of submitting a configuration. `result` has one of the values that
// `SubmitResult` has in the peer interface.
struct Submission {
  std::string result;
  // accepted: the new version; conflict: the current one.
  std::uint64_t version = 0;
  std::vector<std::string> faults;

  bool operator==(const Submission&) const = default;
};

struct ConfigurationDocument {
  std::uint64_t version = 0;
  std::string document;

  bool operator==(const ConfigurationDocument&) const = default;
};

// The state of a VM as known to the control program.
struct FleetMember {
  std::string vm;
  std::string data_centre;
  // Time since the last contact with the VM.
  std::chrono::milliseconds age{0};
  std::uint64_t configuration_version = 0;
  bool reaches_store = false;

  bool operator==(const FleetMember&) const = default;
};

// A client of the control program of this VM.
template <class Candidate>
concept LocalControl = requires(Candidate& control, const std::string& text,
                                std::uint64_t version) {
  {
    control.SubmitConfiguration(text, version, text)
    } -> std::same_as<kernel::Result<Submission, ControlError>>;
  {
    control.CurrentConfiguration()
    } -> std::same_as<kernel::Result<ConfigurationDocument, ControlError>>;
  {
    control.FleetStatus()
    } -> std::same_as<kernel::Result<std::vector<FleetMember>, ControlError>>;
};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_LOCAL_CONTROL_H_
