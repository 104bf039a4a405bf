#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The router is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand2 ./review/stand2
go build -o target/review-2/stand3 ./review/stand3
