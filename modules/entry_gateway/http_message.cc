// Header filtering and serialization of forwarded messages.
#include "modules/entry_gateway/http_message.h"

#include <array>
#include <string_view>

namespace papayakeel {

namespace {

constexpr std::array<http::field, 9> kHopByHopHeaders = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade};

constexpr unsigned kHttp11 = 11;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

void Append(std::string& text, std::string_view name, std::string_view value) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

}  // namespace

http_response MakeLocalResponse(http::status status, std::string_view reason) {
  http_response response(status, kHttp11);
  response.set(http::field::content_type, "text/plain");
  response.set("Proxy-Status", "papayakeel; error=" + std::string(reason));
  response.body() = std::string(reason) + "\n";
  return response;
}

void RemoveHopByHopHeaders(http::fields& fields) {
  std::vector<std::string> named;
  for (const auto& field : fields) {
    if (field.name() != http::field::connection)
      continue;
    std::string_view value = ToStringView(field.value());
    while (!value.empty()) {
      const std::size_t comma = value.find(',');
      std::string_view token = value.substr(0, comma);
      value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                          : comma + 1);
      const std::size_t first = token.find_first_not_of(" \t");
      if (first == std::string_view::npos)
        continue;
      token = token.substr(first, token.find_last_not_of(" \t") - first + 1);
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named)
    fields.erase(name);
  for (const http::field name : kHopByHopHeaders)
    fields.erase(name);
}

std::string SerializeRequestHeader(const http_request& request,
                                   std::size_t body_bytes,
                                   const std::vector<http_header>& changed) {
  http::fields fields = request.base();
  RemoveHopByHopHeaders(fields);
  fields.erase(http::field::expect);
  fields.erase(http::field::content_length);
  for (const http_header& each : changed)
    fields.erase(each.name);
  std::string text;
  text.reserve(512);
  text += ToStringView(request.method_string());
  text += ' ';
  text += ToStringView(request.target());
  text += " HTTP/1.1\r\n";
  for (const auto& field : fields)
    Append(text, ToStringView(field.name_string()),
           ToStringView(field.value()));
  for (const http_header& each : changed)
    Append(text, each.name, each.value);
  const bool usually_has_body = request.method() != http::verb::get &&
                                request.method() != http::verb::head;
  if (body_bytes > 0 || usually_has_body)
    Append(text, "Content-Length", std::to_string(body_bytes));
  text += "\r\n";
  return text;
}

std::string SerializeResponse(const http_response& response,
                              bool closes,
                              bool is_head) {
  const unsigned status = response.result_int();
  const bool has_no_body = status == kNoContent || status == kNotModified;
  std::string text;
  text.reserve(512 + response.body().size());
  text += "HTTP/1.1 " + std::to_string(status) + ' ';
  text += ToStringView(response.reason());
  text += "\r\n";
  for (const auto& field : response) {
    const bool is_length = field.name() == http::field::content_length;
    if (field.name() == http::field::connection || (is_length && !is_head))
      continue;
    Append(text, ToStringView(field.name_string()),
           ToStringView(field.value()));
  }
  if (!is_head && !has_no_body)
    Append(text, "Content-Length", std::to_string(response.body().size()));
  if (closes)
    Append(text, "Connection", "close");
  text += "\r\n";
  if (!is_head && !has_no_body)
    text += response.body();
  return text;
}

}  // namespace papayakeel
