#ifndef LABURNUMKEEL_STANDINS_COMMON_FAULT_ROUTES_H_
#define LABURNUMKEEL_STANDINS_COMMON_FAULT_ROUTES_H_

#include <vector>

#include "laburnumkeel/transport/http_server.h"
#include "standins/common/standin_server.h"

namespace laburnumkeel::standins {

// Adds `POST /faults` and `GET /faults` for `target` to the server of the
// faults port. Modes that are not in `modes` are refused with status 400.
void AddFaultRoutes(transport::HttpServer& server, StandinServer& target,
                    const std::vector<FaultMode>& modes);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_FAULT_ROUTES_H_
