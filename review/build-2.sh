#!/bin/sh
# Builds the stand-ins and drivers of the second review's cases into build/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/stand-2/*.cpp; do
    name=$(basename "$source" .cpp)
    c++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/stand-2 -o "build/review-2/$name" "$source"
done
