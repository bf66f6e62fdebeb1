#ifndef PIMENTOFRONT_CTL_CLIENT_H
#define PIMENTOFRONT_CTL_CLIENT_H

#include "pimentofront/Api.h"
#include "pimentofront/Net.h"

namespace pimentofront {

/// \class Client
/// \brief Calls the public interface and waits for the answer.
class Client {
public:
  explicit Client(HostPort address) : Address(std::move(address)) {}

  /// Calls \p method ("Service/Method") with \p request and prints the answer,
  /// a good one on standard output, an error on standard error.
  /// \returns whether it was a good one.
  bool call(const std::string &method,
            const google::protobuf::Message &request);
  /// The same for a stream; prints the text as it comes.
  bool stream(const std::string &method,
              const google::protobuf::Message &request);

private:
  HttpAnswer run(HttpCall call);

  HostPort Address;
};

} // namespace pimentofront

#endif
