#!/usr/bin/env bash
# Regenerates internal/peers/pb from digest.proto. Needs protoc and
# protoc-gen-go on the PATH; a build needs neither.
set -euo pipefail
cd "$(dirname "$0")/pb"
protoc --go_out=. --go_opt=paths=source_relative digest.proto
