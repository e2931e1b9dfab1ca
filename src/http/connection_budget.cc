#include "http/connection_budget.h"

#include <algorithm>

namespace jaypick::http {

ConnectionBudget::Connection::~Connection() {
  if (budget_ != nullptr) {
    budget_->bytes_ -= bytes_;
    --budget_->connections_;
  }
}

void ConnectionBudget::Add(Connection& connection) {
  connection.budget_ = this;
  ++connections_;
  by_age_.push_back(connection);
}

void ConnectionBudget::SetPhase(Connection& connection, ConnectionPhase phase) {
  if (connection.phase_ == phase) {
    return;
  }
  connection.phase_ = phase;
  connection.by_age_.unlink();
  if (phase != ConnectionPhase::kHandling) {
    by_age_.push_back(connection);
  }
  SetBytes(connection, connection.bytes_);
}

void ConnectionBudget::SetBytes(Connection& connection, std::size_t bytes) {
  bytes_ += bytes;
  bytes_ -= connection.bytes_;
  connection.bytes_ = bytes;
  const bool is_large =
      bytes > kLargeBytes && connection.phase_ != ConnectionPhase::kHandling;
  if (is_large && !connection.among_large_.is_linked()) {
    large_.push_back(connection);
  } else if (!is_large && connection.among_large_.is_linked()) {
    connection.among_large_.unlink();
  }
}

bool ConnectionBudget::HasRoomFor(std::size_t bytes) const {
  return bytes <= kLargeBytes || bytes_ + bytes <= limits_.buffered_bytes;
}

ConnectionBudget::Connection* ConnectionBudget::ChooseForMemory() {
  const auto largest =
      std::max_element(large_.begin(), large_.end(),
                       [](const Connection& a, const Connection& b) {
                         return a.bytes_ < b.bytes_;
                       });
  return largest == large_.end() ? ChooseForNewcomer() : &*largest;
}

ConnectionBudget::Connection* ConnectionBudget::ChooseForNewcomer() {
  return by_age_.empty() ? nullptr : &by_age_.front();
}

}  // namespace jaypick::http
