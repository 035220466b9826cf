#ifndef LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_
#define LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_

#include <functional>
#include <optional>

#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::standins {

// What a stand-in does with the requests of one connection. What the functions
// capture is released when the connection closes.
struct ConnectionHandler {
  // Takes what the execution needs, such as a slot. A response refuses the
  // request. Requests have their query in `parameters`.
  std::function<std::optional<transport::HttpResponse>(
      const transport::HttpRequest&)>
      admit;
  std::function<transport::HttpResponse(const transport::HttpRequest&)> execute;
  // Called after the response was written.
  std::function<void()> answered;
};

using ConnectionHandlerFactory = std::function<ConnectionHandler()>;

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_
