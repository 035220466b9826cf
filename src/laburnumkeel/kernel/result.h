#ifndef LABURNUMKEEL_KERNEL_RESULT_H_
#define LABURNUMKEEL_KERNEL_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace laburnumkeel::kernel {

// A value or an error, whose type each layer defines. Check `has_value()`
// before `value()` or `error()`: reading the absent one is undefined behaviour.
template <class Value, class Error>
using Result = boost::outcome_v2::unchecked<Value, Error>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_RESULT_H_
