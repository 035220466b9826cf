#include "standins/common/fault.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace laburnumkeel::standins {

namespace {

constexpr std::array<std::pair<FaultMode, std::string_view>, 13> kModeNames{{
    {FaultMode::kNone, "none"},
    {FaultMode::kDown, "down"},
    {FaultMode::kSlow, "slow"},
    {FaultMode::kLoseAnswers, "lose_answers"},
    {FaultMode::kFreeze, "freeze"},
    {FaultMode::kCut, "cut"},
    {FaultMode::kCloseBeforeExecute, "close_before_execute"},
    {FaultMode::kResetAfterRead, "reset_after_read"},
    {FaultMode::kHalfAnswer, "half_answer"},
    {FaultMode::kLateAnswer, "late_answer"},
    {FaultMode::kCrossedAnswer, "crossed_answer"},
    {FaultMode::kDoubledAnswer, "doubled_answer"},
    {FaultMode::kOversizedAnswer, "oversized_answer"},
}};

// Longer than any test needs, and within the range of the time-out of poll().
constexpr std::int64_t kMaximumDelayMs = 600000;

bool HasField(FaultMode mode, std::string_view field) {
  if (field == "mode") {
    return true;
  }
  if (field == "milliseconds") {
    return mode == FaultMode::kSlow || mode == FaultMode::kLateAnswer;
  }
  if (field == "scope") {
    return mode == FaultMode::kFreeze;
  }
  if (field == "origins") {
    return mode == FaultMode::kCut;
  }
  return (field == "paths" || field == "count") && IsRequestFault(mode);
}

// Throws nlohmann::json::exception on a missing field or a wrong type.
std::optional<Fault> FaultFromJson(const nlohmann::json& document) {
  const auto name = document.at("mode").get<std::string>();
  const auto mode =
      std::find_if(kModeNames.begin(), kModeNames.end(),
                   [&](const auto& entry) { return entry.second == name; });
  if (mode == kModeNames.end()) {
    return std::nullopt;
  }
  for (const auto& [field, value] : document.items()) {
    if (!HasField(mode->first, field)) {
      return std::nullopt;
    }
  }
  Fault fault;
  fault.mode = mode->first;
  if (HasField(fault.mode, "milliseconds")) {
    const auto milliseconds = document.at("milliseconds").get<std::int64_t>();
    if (milliseconds < 0 || milliseconds > kMaximumDelayMs) {
      return std::nullopt;
    }
    fault.delay = std::chrono::milliseconds(milliseconds);
  }
  if (fault.mode == FaultMode::kFreeze) {
    const auto scope = document.at("scope").get<std::string>();
    if (scope != "all" && scope != "existing") {
      return std::nullopt;
    }
    fault.freeze_all = scope == "all";
  }
  if (fault.mode == FaultMode::kCut) {
    document.at("origins").get_to(fault.origins);
  }
  if (document.contains("paths")) {
    document.at("paths").get_to(fault.paths);
  }
  if (document.contains("count")) {
    fault.count = document.at("count").get<std::int64_t>();
  }
  return fault;
}

}  // namespace

std::string_view ToString(FaultMode mode) {
  return std::find_if(kModeNames.begin(), kModeNames.end(),
                      [&](const auto& entry) { return entry.first == mode; })
      ->second;
}

bool IsRequestFault(FaultMode mode) {
  return mode != FaultMode::kNone && mode != FaultMode::kDown &&
         mode != FaultMode::kFreeze && mode != FaultMode::kCut;
}

nlohmann::json ToJson(const Fault& fault) {
  nlohmann::json document{{"mode", ToString(fault.mode)}};
  if (HasField(fault.mode, "milliseconds")) {
    document["milliseconds"] = fault.delay.count();
  }
  if (fault.mode == FaultMode::kFreeze) {
    document["scope"] = fault.freeze_all ? "all" : "existing";
  }
  if (fault.mode == FaultMode::kCut) {
    document["origins"] = fault.origins;
  }
  if (!fault.paths.empty()) {
    document["paths"] = fault.paths;
  }
  if (fault.count.has_value()) {
    document["count"] = *fault.count;
  }
  return document;
}

std::optional<Fault> ParseFault(std::string_view text) {
  try {
    return FaultFromJson(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace laburnumkeel::standins
