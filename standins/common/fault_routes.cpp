#include "standins/common/fault_routes.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standins/common/answer_text.h"

namespace laburnumkeel::standins {

void AddFaultRoutes(transport::HttpServer& server, StandinServer& target,
                    const std::vector<FaultMode>& modes) {
  server.AddRoute(
      "POST", "/faults",
      [&target, modes](const transport::HttpRequest& request) {
        const auto fault = ParseFault(request.body);
        if (!fault.has_value() ||
            std::find(modes.begin(), modes.end(), fault->mode) == modes.end()) {
          return JsonResponse(400,
                              {{"error",
                                "unknown mode, or a field that is missing, "
                                "unknown or of the wrong type"}});
        }
        target.SetFault(*fault);
        return JsonResponse(200, ToJson(*fault));
      });
  server.AddRoute("GET", "/faults", [&target](const transport::HttpRequest&) {
    return JsonResponse(200, ToJson(target.Faults().Current()));
  });
}

}  // namespace laburnumkeel::standins
