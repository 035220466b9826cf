#ifndef LABURNUMKEEL_ENDPOINTS_POOL_SETTINGS_H_
#define LABURNUMKEEL_ENDPOINTS_POOL_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include "laburnumkeel/endpoints/endpoint_connection.h"
#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/transport/http_connection.h"

namespace laburnumkeel::endpoints {

struct PoolSettings {
  // Name of the endpoint. A connection is used only if the status reports it.
  std::string endpoint;
  // `IP:port`.
  std::string address;
  Origin origin;
  // Share of the endpoint's connections that this VM may open.
  std::size_t maximum_connections = 1;
  // A connection idle for this long is probed with a status call before reuse.
  kernel::Duration probe_after = std::chrono::seconds(5);
  std::chrono::milliseconds probe_timeout{500};
  // Older connections are replaced, one at a time.
  kernel::Duration maximum_age = std::chrono::minutes(5);
  transport::ConnectionLimits connection_limits;

  bool operator==(const PoolSettings&) const = default;

  // Connections that transactions may hold at once. If there are at least two
  // connections, one is reserved for single statements, so that an account that
  // keeps transactions open for up to 10 s does not block the other accounts.
  std::size_t MaximumTransactions() const {
    return std::max<std::size_t>(this->maximum_connections, 2) - 1;
  }
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_POOL_SETTINGS_H_
