#!/usr/bin/env bash
# Builds the stand-ins of the second review. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -o bin/standin2 ./review/standin2
