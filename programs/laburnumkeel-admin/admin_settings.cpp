#include "programs/laburnumkeel-admin/admin_settings.h"

namespace laburnumkeel::admin {

void AdminSettings::Declare(kernel::Settings& settings) {
  settings.AddAddress("listen", this->listen,
                      "address of the administration API");
  settings.AddAddress("control-address", this->control_address,
                      "local address of the control program of this VM");
  settings.AddSecret("admin-secret", this->admin_secret, 16,
                     "administrator secret");
  settings.AddInteger("control-timeout-ms", this->control_timeout_ms, 100,
                      60000, "milliseconds",
                      "timeout for a response of the control program");
  settings.AddInteger("shutdown-grace-ms", this->shutdown_grace_ms, 0, 60000,
                      "milliseconds",
                      "time after SIGTERM in which /readyz fails and requests "
                      "are still served");
}

}  // namespace laburnumkeel::admin
