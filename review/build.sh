#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
