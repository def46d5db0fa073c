#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing where all are present.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy-16 libclang-rt-14-dev curl
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libssl-dev
    prometheus-cpp-dev libgoogle-glog-dev libcli11-dev libflatbuffers-dev libyaml-cpp-dev
    liburcu-dev libxxhash-dev libgtest-dev libgmock-dev librapidcheck-dev gnuplot-nox)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
