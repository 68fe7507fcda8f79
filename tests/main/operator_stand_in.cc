// Serves GET /state, GET /why and POST /bundle.
#include "tests/main/operator_stand_in.h"

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace papayakeel {

namespace {

http_response MakeJson(http::status status, const nlohmann::json& body) {
  http_response reply(status, 11);
  reply.body() = body.dump();
  return reply;
}

}  // namespace

operator_stand_in::operator_stand_in(const process_settings& settings)
    : bundles_(settings), timer_(context_) {
  http_listener_settings listener;
  listener.listen = {"127.0.0.1", 0};
  http_listener_hooks hooks;
  hooks.check_header = [](const http_request&, const network_address&) {
    header_decision decision;
    decision.body_limit_bytes = 2 << 20;
    return decision;
  };
  hooks.handle = [this](const http_exchange& exchange) {
    exchange.respond(Serve(exchange.request));
  };
  hooks.make_error = [](http::status status, std::string_view,
                        const http_request*) {
    return http_response(status, 11);
  };
  listener_ = std::make_unique<http_listener>(context_, listener, hooks);
  if (listener_->Start())
    address_ = listener_->local_address().ToString();
  thread_ = std::thread([this] {
    const boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>
        work_guard = boost::asio::make_work_guard(context_);
    context_.run();
  });
}

operator_stand_in::~operator_stand_in() {
  context_.stop();
  thread_.join();
}

void operator_stand_in::OfferLater(std::string published, time_span delay) {
  boost::asio::post(context_, [this, published = std::move(published), delay] {
    timer_.expires_after(delay);
    timer_.async_wait(
        [this, published](const boost::system::error_code& error) {
          if (!error)
            bundles_.Offer(published);
        });
  });
}

http_response operator_stand_in::Serve(const http_request& request) {
  const std::string expected = std::string("Bearer ") + kToken;
  if (ToStringView(request[http::field::authorization]) != expected)
    return http_response(http::status::unauthorized, 11);
  const std::string_view target = ToStringView(request.target());
  if (target == "/state")
    return MakeJson(http::status::ok, {{"bundles", bundles_.DumpState()}});
  if (target == "/why?service=bokning") {
    return MakeJson(
        http::status::ok,
        {{"service", "bokning"},
         {"endpoints", {{{"name", "10.0.0.1:80"}, {"state", "suspect"}}}}});
  }
  if (target != "/bundle" || request.method() != http::verb::post)
    return MakeJson(http::status::not_found, {{"code", "unknown_service"}});
  const tl::expected<bool, bundle_error> offered =
      bundles_.Offer(request.body());
  if (!offered) {
    return MakeJson(http::status::conflict,
                    {{"code", ToString(offered.error().code)},
                     {"detail", offered.error().detail}});
  }
  return MakeJson(http::status::ok, {{"in_force", true},
                                     {"changed", *offered},
                                     {"version", bundles_.current()->version}});
}

}  // namespace papayakeel
