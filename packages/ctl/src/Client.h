#ifndef PIMENTOFRONT_CTL_CLIENT_H
#define PIMENTOFRONT_CTL_CLIENT_H

#include "pimentofront/Api.h"
#include "pimentofront/Net.h"

namespace pimentofront {

/// \class Client
/// \brief Blocking client of the public API.
class Client {
public:
  explicit Client(HostPort address) : Address(std::move(address)) {}

  /// Calls \p method ("Service/Method") with \p request and prints the response
  /// on standard output or the error on standard error.
  /// \returns whether the call succeeded.
  bool call(const std::string &method,
            const google::protobuf::Message &request);
  /// The same for a streaming method; prints the text as it arrives.
  bool stream(const std::string &method,
              const google::protobuf::Message &request);

private:
  HttpResponse run(HttpCall call);

  HostPort Address;
};

} // namespace pimentofront

#endif
