#!/usr/bin/env bash
# Installs the dependencies of the build and the tests on Debian 12.
set -euo pipefail
packages=(
    g++ cmake make ccache pkg-config clang-format clang-tidy python3
    libevent-dev libevhtp-dev libcapnp-dev capnproto libabsl-dev liblog4cxx-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev libinih-dev
    nlohmann-json3-dev libhighwayhash-dev libxxhash-dev libssl-dev
)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -cx 'install ok installed' | grep -qx "${#packages[@]}"; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
