#ifndef LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_
#define LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_

#include <optional>
#include <string>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/endpoints/statement.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::endpoints {

// Body of a request as JSON. Empty when a text is not valid UTF-8.
std::optional<std::string> EncodeRequest(const StatementRequest& request);
std::optional<std::string> EncodeRequest(const TransactionRequest& request);

// Whether a response without `result` is complete.
enum class ResultField { kRequired, kOptional };

// Reads the response to the request `request_id`. A refusal counts only when it
// carries that id; everything that is neither a result nor a known refusal of
// this request is `unknown`.
kernel::Result<StatementResult, EndpointError> DecodeResponse(
    const transport::HttpResponse& response, const std::string& request_id,
    ResultField result_field);

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_
