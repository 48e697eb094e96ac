#ifndef COMFREYSTAND_PEER_H_
#define COMFREYSTAND_PEER_H_

#include <functional>
#include <string>

#include "comfreystand/base.h"
#include "proto/peer.pb.h"

// Transport interface for calls between nodes.
namespace comfreystand::peer {

// Called with the reply to a call. `ok` is false when the call failed or timed
// out; the receiver may have processed the request nevertheless.
using ReplyCallback = std::function<void(bool ok, const wire::Envelope& reply)>;

// Sends messages to other nodes. Callbacks run on the loop, never from inside
// Call().
class Transport {
 public:
  virtual ~Transport() = default;

  // `address` is "a.b.c.d:port" of the receiver's peer listener.
  virtual void Call(const std::string& address,
                    const wire::Envelope& request,
                    ReplyCallback done) = 0;
};

// Handles a request from another node and returns the reply. Runs on the loop.
using Handler = std::function<wire::Envelope(const wire::Envelope& request)>;

}  // namespace comfreystand::peer

#endif  // COMFREYSTAND_PEER_H_
