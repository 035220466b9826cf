#ifndef LABURNUMKEEL_TRANSPORT_WITHDRAWAL_H_
#define LABURNUMKEEL_TRANSPORT_WITHDRAWAL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace laburnumkeel::transport {

// Lets what is written on a connection be withdrawn: the system discards what
// the other end's system has not acknowledged when the connection is closed,
// when the process ends, and after `timeout`, also while the process is
// stopped. Returns false when the system refuses that.
bool EnableWithdrawal(boost::asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds timeout);

// The system delivers what was written, also after the connection is closed.
void DisableWithdrawal(boost::asio::ip::tcp::socket& socket);

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_WITHDRAWAL_H_
