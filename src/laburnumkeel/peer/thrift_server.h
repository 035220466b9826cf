#ifndef LABURNUMKEEL_PEER_THRIFT_SERVER_H_
#define LABURNUMKEEL_PEER_THRIFT_SERVER_H_

#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}  // namespace apache::thrift

namespace laburnumkeel::peer {

// Serves one Thrift processor with a thread for each connection.
class ThriftServer {
 public:
  ThriftServer(std::string address,
               std::shared_ptr<apache::thrift::TProcessor> processor);
  ~ThriftServer();
  ThriftServer(const ThriftServer&) = delete;
  ThriftServer& operator=(const ThriftServer&) = delete;

  // Returns false when the address cannot be bound.
  bool Start();

  // Closes all connections and returns when the calls in progress have ended.
  void Stop();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::peer

#endif  // LABURNUMKEEL_PEER_THRIFT_SERVER_H_
