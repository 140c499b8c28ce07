#include "operatortask.h"

#include "operatorserver.h"

#include <kj/async-io.h>

#include <future>
#include <thread>

namespace poplarroad
{

class OperatorTask::Impl
{
public:
    Impl(OperatorEndpoint endpoint, TaskSenders senders)
        : endpoint_(endpoint)
        , senders_(std::move(senders))
    {
    }

    bool start()
    {
        std::promise<bool> bound;
        std::future<bool> result = bound.get_future();
        thread_ = std::thread([this, &bound] { run(bound); });
        return result.get();
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        if (stop_) {
            (*stop_)->fulfill();
        }
        thread_.join();
    }

private:
    using StopFulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run(std::promise<bool> &bound)
    {
        auto operatorServer = kj::heap<OperatorServer>(endpoint_, senders_);
        OperatorServer &operatorInterface = *operatorServer;
        capnp::EzRpcServer server(kj::mv(operatorServer), toString(endpoint_.listen));
        operatorInterface.setTimer(server.getIoProvider().getTimer());
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = std::make_unique<StopFulfiller>(kj::mv(pair.fulfiller));
        const bool listening = waitForPort(server);
        bound.set_value(listening);
        if (listening) {
            pair.promise.wait(server.getWaitScope());
        }
    }

    static bool waitForPort(capnp::EzRpcServer &server)
    {
        const auto failure = kj::runCatchingExceptions([&] { server.getPort().wait(server.getWaitScope()); });
        return failure == nullptr;
    }

    OperatorEndpoint endpoint_;
    TaskSenders senders_;
    std::thread thread_;
    std::unique_ptr<StopFulfiller> stop_; ///< set before start() returns
};

OperatorTask::OperatorTask(OperatorEndpoint endpoint, TaskSenders senders)
    : impl_(std::make_unique<Impl>(endpoint, std::move(senders)))
{
}

OperatorTask::~OperatorTask()
{
    impl_->stop();
}

bool OperatorTask::start()
{
    return impl_->start();
}

void OperatorTask::stop()
{
    impl_->stop();
}

} // namespace poplarroad
