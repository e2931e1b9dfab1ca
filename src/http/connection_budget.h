// Bounds on what the connections of one server hold.
#ifndef JAYPICK_HTTP_CONNECTION_BUDGET_H_
#define JAYPICK_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include <boost/intrusive/list.hpp>

#include "http/connection_limits.h"

namespace jaypick::http {

enum class ConnectionPhase : std::uint8_t {
  // Between two requests, or before the first.
  kIdle,
  // A request has begun to arrive.
  kReceiving,
  // A request has arrived and is not answered.
  kHandling,
  // A response is being written.
  kSending,
};

// Keeps the connections of a server and chooses which one to close when a limit
// is reached. It knows no sockets and reads no clock.
class ConnectionBudget {
 public:
  // Memory above which a connection is among the first to be closed, and a
  // response is not sent if there is no memory left for it.
  static constexpr std::size_t kLargeBytes = std::size_t{64} * 1024;

  // One connection; to be derived from. Its destruction removes it.
  class Connection {
   public:
    Connection() = default;
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    ConnectionPhase phase() const { return phase_; }
    std::size_t bytes() const { return bytes_; }

   private:
    friend class ConnectionBudget;
    using Hook = boost::intrusive::list_member_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    ConnectionBudget* budget_ = nullptr;
    ConnectionPhase phase_ = ConnectionPhase::kIdle;
    std::size_t bytes_ = 0;
    Hook by_age_;
    Hook among_large_;
  };

  explicit ConnectionBudget(ConnectionLimits limits) : limits_(limits) {}

  void Add(Connection& connection);
  // The connection counts as the youngest in its new phase.
  void SetPhase(Connection& connection, ConnectionPhase phase);
  void SetBytes(Connection& connection, std::size_t bytes);

  bool is_full() const { return connections_ >= limits_.connections; }
  bool is_over_memory() const { return bytes_ > limits_.buffered_bytes; }
  // Whether a response of `bytes` may be sent.
  bool HasRoomFor(std::size_t bytes) const;
  std::size_t connections() const { return connections_; }
  std::size_t bytes() const { return bytes_; }

  // The connection to close to make room in memory: the one that holds the
  // most, or the oldest if none is large. Null if all are being handled.
  Connection* ChooseForMemory();
  // The connection to close for a new one: the one that has been in its phase
  // for the longest time. Null if all are being handled.
  Connection* ChooseForNewcomer();

 private:
  template <Connection::Hook Connection::*Member>
  using List = boost::intrusive::list<
      Connection,
      boost::intrusive::member_hook<Connection, Connection::Hook, Member>,
      boost::intrusive::constant_time_size<false>>;

  ConnectionLimits limits_;
  std::size_t connections_ = 0;
  std::size_t bytes_ = 0;
  // Connections that may be closed, the oldest first.
  List<&Connection::by_age_> by_age_;
  // Those of them that hold more than `kLargeBytes`.
  List<&Connection::among_large_> large_;
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_CONNECTION_BUDGET_H_
