// Conversions between structures of evhttp and the types in http.h.
#ifndef JAYPICK_HTTP_EVHTTP_CONVERSIONS_H_
#define JAYPICK_HTTP_EVHTTP_CONVERSIONS_H_

#include <map>
#include <string>
#include <vector>

#include "http/http.h"
#include "jaypick/time.h"

struct evbuffer;
struct evhttp_request;
struct evkeyvalq;
struct timeval;

namespace jaypick::http {

// Removes all bytes from `buffer` and returns them.
std::string TakeAll(evbuffer* buffer);

// Appends `text` to `buffer`; long texts are moved instead of copied.
void AppendText(evbuffer* buffer, std::string text);

std::vector<Header> CopyHeaders(const evkeyvalq& headers);
void AddHeaders(evkeyvalq& target, const std::vector<Header>& headers);

// Return the decoded path and the decoded query parameters of the request.
std::string DecodedPath(const evhttp_request* request);
std::map<std::string, std::string> DecodedQuery(const evhttp_request* request);

// Encodes `path` and `query` for a request line.
std::string EncodeTarget(const std::string& path,
                         const std::map<std::string, std::string>& query);

// Converts the response to a client request; removes the body from the request.
Response TakeResponse(evhttp_request* request);

timeval ToTimeval(Duration duration);

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_EVHTTP_CONVERSIONS_H_
