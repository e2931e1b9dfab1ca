#include "http/evhttp_conversions.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/time.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace jaypick::http {
namespace {

// Texts below this size are copied, which costs less than managing a reference.
constexpr std::size_t kMinReferencedBytes = std::size_t{16} * 1024;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

struct Free {
  void operator()(char* text) const { std::free(text); }
};
using CString = std::unique_ptr<char, Free>;

void DeleteText(const void* /*data*/, std::size_t /*size*/, void* text) {
  delete static_cast<std::string*>(text);
}

std::string Encode(const std::string& text) {
  const CString encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0));
  return encoded ? std::string(encoded.get()) : std::string();
}

// Percent-encodes the path but keeps its slashes.
std::string EncodePath(const std::string& path) {
  std::string encoded;
  std::size_t start = 0;
  for (std::size_t slash = path.find('/'); slash != std::string::npos;
       slash = path.find('/', start)) {
    encoded += Encode(path.substr(start, slash - start)) + '/';
    start = slash + 1;
  }
  return encoded + Encode(path.substr(start));
}

}  // namespace

std::string TakeAll(evbuffer* buffer) {
  std::string text;
  text.resize(evbuffer_get_length(buffer));
  const int size = evbuffer_remove(buffer, text.data(), text.size());
  text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  return text;
}

void AppendText(evbuffer* buffer, std::string text) {
  if (text.size() < kMinReferencedBytes) {
    evbuffer_add(buffer, text.data(), text.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(text));
  std::string* const referenced = owned.get();
  if (evbuffer_add_reference(buffer, referenced->data(), referenced->size(),
                             DeleteText, referenced) == 0) {
    static_cast<void>(owned.release());
  }
}

std::vector<Header> CopyHeaders(const evkeyvalq& headers) {
  std::vector<Header> copy;
  for (const evkeyval* header = headers.tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    copy.push_back({.name = header->key, .value = header->value});
  }
  return copy;
}

void AddHeaders(evkeyvalq& target, const std::vector<Header>& headers) {
  for (const Header& header : headers) {
    evhttp_add_header(&target, header.name.c_str(), header.value.c_str());
  }
}

std::string DecodedPath(const evhttp_request* request) {
  const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(request);
  const char* const path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (path == nullptr) {
    return {};
  }
  std::size_t size = 0;
  const CString decoded(evhttp_uridecode(path, 0, &size));
  return decoded ? std::string(decoded.get(), size) : std::string();
}

std::map<std::string, std::string> DecodedQuery(const evhttp_request* request) {
  std::map<std::string, std::string> query;
  const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(request);
  const char* const text = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  evkeyvalq parsed{};
  if (text == nullptr || evhttp_parse_query_str(text, &parsed) != 0) {
    return query;
  }
  for (const evkeyval* entry = parsed.tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    query[entry->key] = entry->value;
  }
  evhttp_clear_headers(&parsed);
  return query;
}

std::string EncodeTarget(const std::string& path,
                         const std::map<std::string, std::string>& query) {
  std::string target = EncodePath(path);
  char separator = '?';
  for (const auto& [name, value] : query) {
    target += separator + Encode(name) + '=' + Encode(value);
    separator = '&';
  }
  return target;
}

Response TakeResponse(evhttp_request* request) {
  Response response;
  response.status = evhttp_request_get_response_code(request);
  response.headers = CopyHeaders(*evhttp_request_get_input_headers(request));
  response.body = TakeAll(evhttp_request_get_input_buffer(request));
  const auto type = FindHeader(response.headers, "Content-Type");
  response.content_type = std::string(type.value_or(""));
  return response;
}

timeval ToTimeval(Duration duration) {
  const std::int64_t count = std::max<std::int64_t>(duration.count(), 0);
  return {.tv_sec = static_cast<time_t>(count / kMicrosecondsPerSecond),
          .tv_usec = static_cast<suseconds_t>(count % kMicrosecondsPerSecond)};
}

}  // namespace jaypick::http
