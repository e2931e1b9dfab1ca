#include "daemon/bearer_token.h"

#include <openssl/crypto.h>

#include <fstream>
#include <stdexcept>
#include <string_view>

namespace jaypick::daemon {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

BearerToken BearerToken::Load(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  // Extracting one word strips white space at both ends.
  file >> token;
  if (token.size() < kMinBytes) {
    throw std::runtime_error("token file " + path + ": cannot be read or has " +
                             "less than " + std::to_string(kMinBytes) +
                             " bytes");
  }
  return BearerToken(std::move(token));
}

bool BearerToken::Matches(const std::vector<http::Header>& headers) const {
  const auto value = http::FindHeader(headers, "Authorization");
  if (!value || !value->starts_with(kScheme)) {
    return false;
  }
  const std::string_view offered = value->substr(kScheme.size());
  // The length need not be secret; tokens of equal length are compared in
  // constant time.
  return offered.size() == token_.size() &&
         CRYPTO_memcmp(offered.data(), token_.data(), token_.size()) == 0;
}

}  // namespace jaypick::daemon
