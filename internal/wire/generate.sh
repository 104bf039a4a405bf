#!/usr/bin/env bash
# Regenerates internal/wire/pb from wire.proto. Needs protoc, protoc-gen-go and
# protoc-gen-go-drpc on the PATH; a build needs none of them.
set -euo pipefail
cd "$(dirname "$0")/pb"
protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
