#include "endpoint_probe.h"

#include "tcp_endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace carawaylink::gateway {

namespace {

namespace asio = boost::asio;

constexpr auto connectTimeout = std::chrono::milliseconds(300);
// The listening socket of a process that crashes may outlive its connections for a moment.
constexpr auto connectDelay = std::chrono::milliseconds(20);

struct probe : std::enable_shared_from_this<probe> {
    probe(asio::io_context& context, const endpoint_id& address, duration limit, std::function<void(boost::system::error_code)> handler)
        : target(tcpEndpoint(address.value))
        , timeout(limit)
        , onResult(std::move(handler))
        , socket(context)
        , timer(context)
    {
    }

    void start()
    {
        timer.expires_after(connectDelay);
        timer.async_wait([self = shared_from_this()](boost::system::error_code) { self->connect(); });
    }

    void connect()
    {
        timer.expires_after(timeout);
        timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
            if (!status)
                self->socket.close(status);
        });
        socket.async_connect(target, [self = shared_from_this()](boost::system::error_code status) {
            self->timer.cancel();
            self->onResult(status);
        });
    }

    asio::ip::tcp::endpoint target;
    duration timeout;
    std::function<void(boost::system::error_code)> onResult;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

void probeEndpoint(asio::io_context& context, const endpoint_id& address, std::function<void(bool hasEnded)> onResult)
{
    const auto onConnect = [onResult = std::move(onResult)](boost::system::error_code status) {
        const bool timedOut = status == asio::error::operation_aborted || status == asio::error::timed_out;
        onResult(timedOut || status == asio::error::connection_refused || status == asio::error::host_unreachable);
    };
    std::make_shared<probe>(context, address, connectTimeout, onConnect)->start();
}

void probePath(asio::io_context& context, const endpoint_id& address, duration timeout, std::function<void(bool isConnected)> onResult)
{
    const auto onConnect = [onResult = std::move(onResult)](boost::system::error_code status) { onResult(!status); };
    std::make_shared<probe>(context, address, timeout, onConnect)->connect();
}

} // namespace carawaylink::gateway
