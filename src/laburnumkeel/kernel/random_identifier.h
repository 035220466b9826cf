#ifndef LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_
#define LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_

#include <string>

namespace laburnumkeel::kernel {

// Generates an identifier of 32 random hexadecimal digits from the entropy
// source of the operating system, for operation ids, incarnations and
// transactions.
std::string RandomIdentifier();

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_
