#ifndef LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_
#define LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_

#include <functional>
#include <optional>

#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::standins {

// Handles the requests of one connection. The functions are destroyed, with
// their captures, when the connection closes.
struct ConnectionHandler {
  // Acquires what the execution needs, such as a slot. Returns a response to
  // refuse the request, and empty to admit it. Requests have their query in
  // `parameters`.
  std::function<std::optional<transport::HttpResponse>(
      const transport::HttpRequest&)>
      admit;
  std::function<transport::HttpResponse(const transport::HttpRequest&)> execute;
  // Called after the response was written.
  std::function<void()> on_response_written;
};

using ConnectionHandlerFactory = std::function<ConnectionHandler()>;

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_CONNECTION_HANDLER_H_
