#ifndef LABURNUMKEEL_STANDINS_COMMON_ANSWER_TEXT_H_
#define LABURNUMKEEL_STANDINS_COMMON_ANSWER_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "laburnumkeel/transport/http_message.h"
#include "standins/common/fault.h"

namespace laburnumkeel::standins {

transport::HttpResponse JsonResponse(int status,
                                     const nlohmann::json& document);

// The bytes of an HTTP/1.1 response, altered when `mode` is a fault that alters
// responses.
std::string ResponseText(const transport::HttpResponse& response,
                         FaultMode mode);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_ANSWER_TEXT_H_
