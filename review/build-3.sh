#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -o target/stand3 ./review/stand3
