#ifndef LABURNUMKEEL_KERNEL_SERVICE_H_
#define LABURNUMKEEL_KERNEL_SERVICE_H_

namespace laburnumkeel::kernel {

// A part of a program that the kernel starts and stops. The kernel holds
// services of different types under one roof, hence the virtual functions.
class Service {
 public:
  Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  virtual ~Service() = default;

  // Called once, after all services registered earlier have started. Returns
  // false when the service cannot run; it has then logged the reason.
  virtual bool Start() = 0;

  // Called once, before all services registered earlier are stopped. Returns
  // when all work of the service has ended.
  virtual void Stop() = 0;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_SERVICE_H_
