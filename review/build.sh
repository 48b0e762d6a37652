#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "review/bin/$(basename "$source" .cpp)"
done
