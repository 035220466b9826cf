#ifndef LABURNUMKEEL_CONFIGURATION_ADDRESS_H_
#define LABURNUMKEEL_CONFIGURATION_ADDRESS_H_

#include <string>

namespace laburnumkeel::configuration {

// Whether the text is an IP address and a port from 1 to 65535, for example
// `10.0.0.1:9000`.
bool IsAddress(const std::string& text);

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_ADDRESS_H_
