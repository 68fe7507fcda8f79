// Polls watches at a fixed interval.
#include "drivers/connection_poller.h"

#include <vector>

#include <boost/asio/io_context.hpp>

#include "drivers/connection_watch.h"

namespace papayakeel {
namespace detail {

namespace {

// Several polls fit into the second after which the kernel ends a connection
// whose window is closed, and into the half second in which callers that left
// are to be noticed.
constexpr time_span kPollInterval = std::chrono::milliseconds(200);

}  // namespace

boost::asio::execution_context::id connection_poller::id;

connection_poller::connection_poller(boost::asio::execution_context& context)
    : boost::asio::execution_context::service(context),
      timer_(static_cast<boost::asio::io_context&>(context)) {}

void connection_poller::Add(connection_watch& watch) {
  watches_.insert(&watch);
  Arm();
}

void connection_poller::Remove(connection_watch& watch) {
  watches_.erase(&watch);
}

void connection_poller::shutdown() {
  timer_.cancel();
}

void connection_poller::Arm() {
  if (is_armed_ || watches_.empty())
    return;
  is_armed_ = true;
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    is_armed_ = false;
    if (!error)
      PollAll();
  });
}

void connection_poller::PollAll() {
  const std::vector<connection_watch*> watches(watches_.begin(),
                                               watches_.end());
  for (connection_watch* watch : watches) {
    // A poll may remove and destroy any watch.
    if (watches_.count(watch) > 0)
      watch->Poll();
  }
  Arm();
}

}  // namespace detail
}  // namespace papayakeel
