#ifndef LABURNUMKEEL_KERNEL_SERVICE_H_
#define LABURNUMKEEL_KERNEL_SERVICE_H_

namespace laburnumkeel::kernel {

// A component of a program that the kernel starts and stops. The functions are
// virtual, since one kernel owns services of different types.
class Service {
 public:
  Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  virtual ~Service() = default;

  // Called once, after all services registered earlier have started. Returns
  // false, after logging the reason, when the service cannot run.
  virtual bool Start() = 0;

  // Called once, before all services registered earlier are stopped. Returns
  // when all work of the service has ended.
  virtual void Stop() = 0;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_SERVICE_H_
