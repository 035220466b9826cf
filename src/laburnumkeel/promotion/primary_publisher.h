#ifndef LABURNUMKEEL_PROMOTION_PRIMARY_PUBLISHER_H_
#define LABURNUMKEEL_PROMOTION_PRIMARY_PUBLISHER_H_

#include <optional>
#include <string>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/platform/table_store.h"
#include "laburnumkeel/promotion/events.h"
#include "laburnumkeel/promotion/promotion_error.h"
#include "laburnumkeel/promotion/promotion_result.h"

namespace laburnumkeel::promotion {

// Writes new primaries to the table row `primaries/<group>`. The row is only a
// hint for starting VMs, so a failed write can be retried later.
template <platform::TableStore Store>
class PrimaryPublisher {
 public:
  explicit PrimaryPublisher(Store store) : store(std::move(store)) {}

  // Succeeds once the row holds this primary or one of a higher term. A lower
  // term never replaces a higher one, so a publisher that was suspended cannot
  // overwrite a newer primary. Fails with `kNotPublished` when the store does
  // not respond.
  kernel::Result<void, PromotionError> Publish(const PromotionResult& primary) {
    const auto result = this->TryPublish(primary);
    kernel::LogEvent(
        result.has_value() ? kPrimaryPublished : kPrimaryNotPublished,
        {{"group", primary.group},
         {"endpoint", primary.endpoint},
         {"term", primary.term},
         {"reason", result.has_value() ? "stored" : result.error().message}});
    return result;
  }

 private:
  // Only promoters of higher terms cause conflicts, so few attempts suffice.
  static constexpr int kAttempts = 4;

  kernel::Result<void, PromotionError> TryPublish(
      const PromotionResult& primary) {
    const std::string key = PrimaryRowKey(primary.group);
    std::string message = "the row changed in every attempt";
    // All attempts share one id: a write whose response was lost may still take
    // effect and is then recognized by the next attempt.
    const std::string operation_id = kernel::RandomIdentifier();
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const auto row = this->store.Read(key);
      if (!row.has_value()) {
        message = row.error().message;
        continue;
      }
      const auto stored = DecodePrimary(primary.group, row.value().value);
      if (row.value().operation_id == operation_id ||
          (stored && stored->term >= primary.term)) {
        return kernel::success();
      }
      const auto committed = this->store.Commit(platform::TableTransaction{
          operation_id,
          {platform::RowCondition{key, row.value().version}},
          {platform::RowWrite{key, EncodePrimary(primary)}}});
      if (committed.has_value() && committed.value().committed) {
        return kernel::success();
      }
      if (!committed.has_value()) {
        message = committed.error().message;
      }
    }
    return PromotionError{PromotionFailure::kNotPublished, message,
                          primary.term};
  }

  Store store;
};

}  // namespace laburnumkeel::promotion

#endif  // LABURNUMKEEL_PROMOTION_PRIMARY_PUBLISHER_H_
