#include "host/stopsignals.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

using namespace poplarroad;

namespace
{

/** A file that is removed at the end of the test; its name differs between processes. */
class TemporaryFile
{
public:
    ~TemporaryFile()
    {
        std::remove(path.c_str());
    }
    void write(const std::string &text) const
    {
        std::ofstream(path) << text;
    }

    const std::string path = "/tmp/poplarroad-watch-" + std::to_string(getpid());
};

} // namespace

TEST_CASE("a written file is reported as changed exactly once")
{
    const TemporaryFile file;
    file.write("first");
    FileWatch watch(file.path);
    CHECK_FALSE(watch.changed());
    file.write("longer text");
    CHECK(watch.changed());
    CHECK_FALSE(watch.changed());
}

TEST_CASE("a file that is replaced by one of the same size is reported as changed")
{
    const TemporaryFile file;
    file.write("one");
    FileWatch watch(file.path);
    std::ofstream(file.path + ".new") << "two";
    REQUIRE(std::rename((file.path + ".new").c_str(), file.path.c_str()) == 0);
    CHECK(watch.changed());
}

TEST_CASE("a file that is missing for a moment and returns unchanged is not reported as changed")
{
    const TemporaryFile file;
    file.write("text");
    FileWatch watch(file.path);
    REQUIRE(std::rename(file.path.c_str(), (file.path + ".away").c_str()) == 0);
    CHECK_FALSE(watch.changed());
    REQUIRE(std::rename((file.path + ".away").c_str(), file.path.c_str()) == 0);
    CHECK_FALSE(watch.changed());
}
