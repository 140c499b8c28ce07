#include "platformserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::uint16_t, port, 0, "port on the loopback interface; 0 for any free port");

int main(int argc, char **argv)
{
    using namespace poplarroad;
    absl::SetProgramUsageMessage("Simulates the platform: object API and host list, in memory.");
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    const PlatformServer server(loop, absl::GetFlag(FLAGS_port));
    if (server.port() == 0) {
        std::cerr << "cannot bind port " << absl::GetFlag(FLAGS_port) << std::endl;
        return 1;
    }
    const EventPtr terminate(evsignal_new(
        loop.base(), SIGTERM,
        [](evutil_socket_t, short, void *argument) { static_cast<EventLoop *>(argument)->stop(); }, &loop));
    event_add(terminate.get(), nullptr);
    std::cout << server.port() << std::endl;
    loop.run();
    return 0;
}
