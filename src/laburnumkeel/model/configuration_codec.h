#ifndef LABURNUMKEEL_MODEL_CONFIGURATION_CODEC_H_
#define LABURNUMKEEL_MODEL_CONFIGURATION_CODEC_H_

#include <string>
#include <string_view>

#include "laburnumkeel/kernel/result.h"
#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::model {

// Why a text is not a configuration document.
struct CodecError {
  std::string message;

  bool operator==(const CodecError&) const = default;
};

// Returns the JSON document of a configuration; equal configurations give equal
// documents.
std::string Encode(const Configuration& configuration);

// Decodes a JSON document. Fails on malformed JSON, a missing or unknown field
// and a wrong type; the message contains the path. Values are not validated.
kernel::Result<Configuration, CodecError> DecodeConfiguration(
    std::string_view text);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_CONFIGURATION_CODEC_H_
