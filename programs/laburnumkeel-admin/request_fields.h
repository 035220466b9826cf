#ifndef LABURNUMKEEL_PROGRAMS_ADMIN_REQUEST_FIELDS_H_
#define LABURNUMKEEL_PROGRAMS_ADMIN_REQUEST_FIELDS_H_

#include <cstdint>
#include <optional>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/transport/http_message.h"
#include "programs/laburnumkeel-admin/admin_error.h"

namespace laburnumkeel::admin {

struct AccountLimits {
  std::optional<double> rate;
  std::optional<double> burst;

  bool operator==(const AccountLimits&) const = default;
};

// Returns the query parameter `base_version`, or an empty value if it is
// absent.
kernel::Result<std::optional<std::uint64_t>, AdminError> BaseVersion(
    const transport::HttpRequest& request);

// Parses the body `{"state":"in"}` or `{"state":"out"}`.
kernel::Result<model::Availability, AdminError> RequestedState(
    const transport::HttpRequest& request);

// Parses the body `{"rate":R,"burst":B}` with at least one of the two fields.
kernel::Result<AccountLimits, AdminError> RequestedLimits(
    const transport::HttpRequest& request);

}  // namespace laburnumkeel::admin

#endif  // LABURNUMKEEL_PROGRAMS_ADMIN_REQUEST_FIELDS_H_
