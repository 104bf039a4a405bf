#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15. The router is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-stand4 ./review/stand4
