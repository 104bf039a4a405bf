#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/. The router is built by the line build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/out/harness ./review/harness
