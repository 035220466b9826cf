#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_CHANGER_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_CHANGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "programs/laburnumkeel-admin/configuration_edit.h"
#include "programs/laburnumkeel-admin/events.h"
#include "programs/laburnumkeel-admin/local_control.h"

namespace laburnumkeel::admin {

// Makes configuration changes through the control program. `Pause` is called
// between attempts and gives the control program time to reach the store or to
// fetch a newer version. `control` must outlive this object.
// Thread-safe if `Control` is.
template <LocalControl Control, class Pause>
class ConfigurationChanger {
 public:
  ConfigurationChanger(Control& control, Pause pause)
      : control(control), pause(std::move(pause)) {}

  kernel::Result<model::Configuration, AdminError> Current() {
    const auto held = this->control.CurrentConfiguration();
    if (!held.has_value()) {
      return ControlFailed(held.error().message);
    }
    // The control program has not yet received a configuration.
    if (held.value().version == 0) {
      return model::Configuration{};
    }
    auto configuration = model::DecodeConfiguration(held.value().document);
    if (!configuration.has_value()) {
      return ControlFailed(configuration.error().message);
    }
    return std::move(configuration.value());
  }

  // Replaces version `base_version` and returns the new version. Calls with the
  // same operation id are idempotent.
  kernel::Result<std::uint64_t, AdminError> Replace(
      const model::Configuration& document, std::uint64_t base_version,
      const std::string& operation_id) {
    const std::string text = model::Encode(document);
    Submission submission{"unknown", 0, {}};
    for (int attempt = 0; attempt < kSubmitAttempts; ++attempt) {
      if (attempt > 0) {
        kernel::LogEvent(kChangeRepeated, {{"operation_id", operation_id},
                                           {"base_version", base_version},
                                           {"reason", "unknown result"}});
        this->pause();
      }
      const auto response =
          this->control.SubmitConfiguration(text, base_version, operation_id);
      if (!response.has_value() && !response.error().may_have_run &&
          attempt == 0) {
        return ControlFailed(response.error().message);
      }
      // A store outage after an unknown result leaves that result unknown.
      const bool is_conclusive =
          response.has_value() && response.value().result != "unknown" &&
          (attempt == 0 || response.value().result != "store_unavailable");
      if (is_conclusive) {
        submission = response.value();
        break;
      }
    }
    return ReportResult(submission, base_version, operation_id);
  }

  // Applies the edit to the current version and returns the new version. After
  // a conflict with another change, the edit is retried only if no
  // `base_version` is given and the value that it replaces is unchanged.
  kernel::Result<std::uint64_t, AdminError> Apply(
      const ConfigurationEdit& edit,
      std::optional<std::uint64_t> base_version) {
    std::optional<std::string> precondition;
    AdminError last_error;
    std::uint64_t attempted_version = 0;
    for (int attempt = 0; attempt < kApplyAttempts; ++attempt) {
      if (attempt > 0) {
        kernel::LogEvent(kChangeRepeated, {{"base_version", attempted_version},
                                           {"reason", "conflict"}});
        this->pause();
      }
      const auto current = this->Current();
      if (!current.has_value()) {
        return current.error();
      }
      const model::Configuration& held = current.value();
      if (base_version.has_value() && *base_version != held.version) {
        return Conflict(held.version, "the base version is not current");
      }
      if (precondition.has_value() &&
          *precondition != edit.precondition(held)) {
        return Conflict(held.version,
                        "another change replaced the same value first");
      }
      precondition = edit.precondition(held);
      const auto changed = edit.apply(held);
      if (!changed.has_value()) {
        return changed.error();
      }
      attempted_version = held.version;
      auto version = this->Replace(changed.value(), held.version,
                                   kernel::RandomIdentifier());
      if (version.has_value() || version.error().status != kConflictStatus ||
          base_version.has_value()) {
        return version;
      }
      last_error = version.error();
    }
    return last_error;
  }

 private:
  static constexpr int kConflictStatus = 409;
  static constexpr int kSubmitAttempts = 4;
  // With a pause of 100 ms, enough time to receive another VM's change.
  static constexpr int kApplyAttempts = 20;

  static AdminError ControlFailed(std::string message) {
    return AdminError{
        503, "control_unreachable", std::move(message), {}, std::nullopt};
  }

  static kernel::Result<std::uint64_t, AdminError> ReportResult(
      const Submission& submission, std::uint64_t base_version,
      const std::string& operation_id) {
    kernel::LogEvent(kChangeRequested, {{"result", submission.result},
                                        {"base_version", base_version},
                                        {"version", submission.version},
                                        {"operation_id", operation_id}});
    if (submission.result == "accepted") {
      return submission.version;
    }
    if (submission.result == "conflict") {
      return Conflict(submission.version, "another change was accepted first");
    }
    if (submission.result == "invalid") {
      return AdminError{422, "invalid", "the configuration has faults",
                        submission.faults, std::nullopt};
    }
    if (submission.result == "store_unavailable") {
      return AdminError{503, "store_unavailable",
                        "the change was not made: the store or a majority of "
                        "data centres is out of reach",
                        submission.faults, std::nullopt};
    }
    return AdminError{504, "unknown",
                      "the change may have been made; read the configuration",
                      submission.faults, std::nullopt};
  }

  Control& control;
  Pause pause;
};

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_CONFIGURATION_CHANGER_H_
