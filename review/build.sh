#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. Needs g++ and the C library alone.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
    n=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I standin -o "build/case$n" "$source"
done
