// Conversions between evhttp's structures and typed values.
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

// Takes all bytes out of `buffer`.
std::string TakeAll(evbuffer* buffer);

// Appends `text` to `buffer`; long texts are handed over without a copy.
void AppendText(evbuffer* buffer, std::string text);

std::vector<Header> CopyHeaders(const evkeyvalq& headers);
void AddHeaders(evkeyvalq& target, const std::vector<Header>& headers);

// The decoded path of the request, and its decoded query parameters.
std::string DecodedPath(const evhttp_request* request);
std::map<std::string, std::string> DecodedQuery(const evhttp_request* request);

// `path` and `query` encoded for a request line.
std::string EncodeTarget(const std::string& path,
                         const std::map<std::string, std::string>& query);

// Reads status, headers and body of an answered client request; takes the body.
Response TakeResponse(evhttp_request* request);

timeval ToTimeval(Duration duration);

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_EVHTTP_CONVERSIONS_H_
