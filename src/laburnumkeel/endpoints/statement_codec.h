#ifndef LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_
#define LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_

#include <optional>
#include <string>

#include "laburnumkeel/endpoints/endpoint_error.h"
#include "laburnumkeel/endpoints/statement.h"
#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/transport/http_message.h"

namespace laburnumkeel::endpoints {

// Encodes the body of a request as JSON. Empty if a string is not valid UTF-8.
std::optional<std::string> EncodeRequest(const StatementRequest& request);
std::optional<std::string> EncodeRequest(const TransactionRequest& request);

// Whether a response must contain `result`.
enum class ResultField { kRequired, kOptional };

// Decodes the response to the request `request_id`. The outcome is `not_run`
// only for a known refusal that contains this id, and `unknown` for every
// response that is neither such a refusal nor a result.
kernel::Result<StatementResult, EndpointError> DecodeResponse(
    const transport::HttpResponse& response, const std::string& request_id,
    ResultField result_field);

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_STATEMENT_CODEC_H_
