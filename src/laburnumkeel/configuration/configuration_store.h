#ifndef LABURNUMKEEL_CONFIGURATION_CONFIGURATION_STORE_H_
#define LABURNUMKEEL_CONFIGURATION_CONFIGURATION_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/configuration/events.h"
#include "laburnumkeel/configuration/stored_configuration.h"
#include "laburnumkeel/configuration/validation.h"
#include "laburnumkeel/platform/commit_with_read_back.h"

namespace laburnumkeel::configuration {

inline constexpr const char* kConfigurationRow = "configuration/current";

enum class ProposalResult {
  kAccepted,
  // Another change to the same base version was accepted first; nothing was
  // changed.
  kConflict,
  // The document has faults; nothing was changed.
  kInvalid,
  // The store is unavailable and did not apply the change.
  kStoreUnavailable,
  // The change may have been accepted. Repeating the proposal with the same
  // operation id and base version determines whether it was.
  kUnknown,
};

// The names match those of `SubmitResult` in the peer interface.
inline std::string ToString(ProposalResult result) {
  switch (result) {
    case ProposalResult::kAccepted:
      return "accepted";
    case ProposalResult::kConflict:
      return "conflict";
    case ProposalResult::kInvalid:
      return "invalid";
    case ProposalResult::kStoreUnavailable:
      return "store_unavailable";
    case ProposalResult::kUnknown:
      break;
  }
  return "unknown";
}

struct Proposal {
  ProposalResult result = ProposalResult::kUnknown;
  // kAccepted: the new version; kConflict: the current version; otherwise 0.
  std::uint64_t version = 0;
  std::vector<Fault> faults;
  // kAccepted and kConflict: the configuration last read from or written to the
  // store.
  std::optional<model::Configuration> current;

  bool operator==(const Proposal&) const = default;
};

// Reads and changes the configuration in the table service. `store` must
// outlive this object.
template <platform::TableStore Store>
class ConfigurationStore {
 public:
  explicit ConfigurationStore(Store& store) : store(store) {}

  // The newest accepted configuration; version 0 before the first change.
  kernel::Result<model::Configuration, platform::PlatformError> Read() {
    auto loaded = this->Load();
    if (!loaded.has_value()) {
      return loaded.error();
    }
    return std::move(loaded.value().stored.configuration);
  }

  // Replaces version `base_version` with `document`, whose own version field is
  // ignored. `operation_id` identifies the change across repeated calls.
  Proposal Propose(model::Configuration document, std::uint64_t base_version,
                   const std::string& operation_id) {
    Proposal proposal =
        this->TryPropose(std::move(document), base_version, operation_id);
    const bool accepted = proposal.result == ProposalResult::kAccepted;
    kernel::LogEvent(accepted ? kChangeAccepted : kChangeRefused,
                     {{"result", ToString(proposal.result)},
                      {"base_version", base_version},
                      {"version", proposal.version},
                      {"faults", proposal.faults.size()},
                      {"operation_id", operation_id}});
    return proposal;
  }

 private:
  struct Loaded {
    StoredConfiguration stored;
    std::uint64_t row_version;
  };

  kernel::Result<Loaded, platform::PlatformError> Load() {
    auto row = this->store.Read(kConfigurationRow);
    if (!row.has_value()) {
      return row.error();
    }
    auto stored = DecodeStored(row.value().value);
    if (!stored.has_value()) {
      kernel::LogEvent(kStoredDocumentUnreadable,
                       {{"row_version", row.value().version}});
      return platform::PlatformError{
          platform::PlatformFailure::kInvalidResponse,
          "the configuration row is not a configuration document"};
    }
    return Loaded{std::move(*stored), row.value().version};
  }

  Proposal TryPropose(model::Configuration document, std::uint64_t base_version,
                      const std::string& operation_id) {
    document.version = base_version + 1;
    std::vector<Fault> faults = Validate(document);
    if (!faults.empty()) {
      return Proposal{ProposalResult::kInvalid, 0, std::move(faults),
                      std::nullopt};
    }
    const auto loaded = this->Load();
    if (!loaded.has_value()) {
      return Proposal{ProposalResult::kStoreUnavailable, 0, {}, std::nullopt};
    }
    const StoredConfiguration& stored = loaded.value().stored;
    // A repeated proposal returns here if an earlier attempt took effect.
    if (AcceptedVersion(stored, operation_id).has_value() ||
        stored.configuration.version != base_version) {
      return ResultFromStored(stored, operation_id);
    }
    const platform::CommitReport report = platform::CommitWithReadBack(
        this->store,
        platform::TableTransaction{
            operation_id,
            {platform::RowCondition{kConfigurationRow,
                                    loaded.value().row_version}},
            {platform::RowWrite{
                kConfigurationRow,
                EncodeStored(WithOperation(stored, document, operation_id))}}});
    return this->ResultOfCommit(report, std::move(document), operation_id);
  }

  Proposal ResultOfCommit(const platform::CommitReport& report,
                          model::Configuration document,
                          const std::string& operation_id) {
    if (report.outcome == platform::CommitOutcome::kCommitted) {
      const std::uint64_t version = document.version;
      return Proposal{
          ProposalResult::kAccepted, version, {}, std::move(document)};
    }
    if (report.store_unavailable) {
      return Proposal{ProposalResult::kStoreUnavailable, 0, {}, std::nullopt};
    }
    // If the change was accepted and followed by others, the newer row still
    // lists its operation.
    const auto loaded = this->Load();
    if (loaded.has_value()) {
      const StoredConfiguration& stored = loaded.value().stored;
      if (AcceptedVersion(stored, operation_id).has_value() ||
          stored.configuration.version >= document.version) {
        return ResultFromStored(stored, operation_id);
      }
    }
    return Proposal{report.outcome == platform::CommitOutcome::kNotCommitted
                        ? ProposalResult::kConflict
                        : ProposalResult::kUnknown,
                    0,
                    {},
                    std::nullopt};
  }

  static Proposal ResultFromStored(const StoredConfiguration& stored,
                                   const std::string& operation_id) {
    if (const auto version = AcceptedVersion(stored, operation_id)) {
      return Proposal{
          ProposalResult::kAccepted, *version, {}, stored.configuration};
    }
    return Proposal{ProposalResult::kConflict,
                    stored.configuration.version,
                    {},
                    stored.configuration};
  }

  Store& store;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_CONFIGURATION_STORE_H_
