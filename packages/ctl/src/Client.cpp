#include "Client.h"

#include "pimentofront.pb.h"

#include <cstdio>

namespace pimentofront {
namespace {

constexpr int StatusOk = 200;
constexpr std::size_t MaxMessageBytes = std::size_t(16) << 20;

std::string pathOf(const std::string &method) {
  return "/pimentofront.v1." + method;
}

bool report(const HttpResponse &answer) {
  if (answer.Ending != HttpEnding::Complete) {
    std::fputs(answer.Ending == HttpEnding::NotSent
                   ? "cannot connect: the call was not sent\n"
                   : "the connection was lost: the call may have been run\n",
               stderr);
    return false;
  }
  const bool good = answer.Status == StatusOk;
  std::fprintf(good ? stdout : stderr, "%s\n", answer.Body.c_str());
  return good;
}

/// Prints the messages of a stream as they arrive.
class StreamPrinter {
public:
  void feed(std::string_view bytes) {
    Reader.feed(bytes);
    while (const auto envelope = Reader.next())
      print(*envelope);
  }
  bool good() const { return Ended && !Failed; }

private:
  void print(const Envelope &envelope) {
    if (envelope.Flags & Envelope::EndOfStream) {
      Ended = true;
      Failed = envelope.Message.find("\"error\"") != std::string::npos;
      if (Failed)
        std::fprintf(stderr, "%s\n", envelope.Message.c_str());
      return;
    }
    v1::GenerateChunk chunk;
    if (!readMessage(ConnectCodec::Json, envelope.Message, chunk))
      return;
    std::fputs(chunk.text().c_str(), stdout);
    std::fflush(stdout);
    if (chunk.has_summary())
      std::printf("\n%s\n",
                  writeMessage(ConnectCodec::Json, chunk.summary()).c_str());
  }

  EnvelopeReader Reader{MaxMessageBytes};
  bool Ended = false;
  bool Failed = false;
};

} // namespace

HttpResponse Client::run(HttpCall call) {
  EventLoop loop;
  HttpClient client(loop);
  HttpResponse result;
  call.Address = Address;
  call.OnEnd = [&](const HttpResponse &answer) {
    result = answer;
    loop.stop();
  };
  client.start(std::move(call));
  loop.run();
  return result;
}

bool Client::call(const std::string &method,
                  const google::protobuf::Message &request) {
  return report(run({.Path = pathOf(method),
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = writeMessage(ConnectCodec::Json, request)}));
}

bool Client::stream(const std::string &method,
                    const google::protobuf::Message &request) {
  StreamPrinter printer;
  const std::string body = writeMessage(ConnectCodec::Json, request);
  const HttpResponse answer =
      run({.Path = pathOf(method),
           .Headers = {{"Content-Type", "application/connect+json"}},
           .Body = encodeEnvelope(0, body),
           .OnPiece = [&](std::string_view bytes) { printer.feed(bytes); }});
  if (answer.Ending != HttpEnding::Complete || answer.Status != StatusOk)
    return report(answer);
  return printer.good();
}

} // namespace pimentofront
