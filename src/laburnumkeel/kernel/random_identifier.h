#ifndef LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_
#define LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_

#include <string>

namespace laburnumkeel::kernel {

// A random identifier of 32 hexadecimal digits from the system's entropy
// source, for operation ids, incarnations and transactions.
std::string RandomIdentifier();

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_RANDOM_IDENTIFIER_H_
