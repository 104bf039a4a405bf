#!/usr/bin/env bash
# Regenerates internal/peers/pb from digest.proto. Needs buf and
# protoc-gen-go on the PATH; a build needs neither.
set -euo pipefail
cd "$(dirname "$0")/pb"
buf generate --template \
  '{"version":"v2","plugins":[{"local":"protoc-gen-go","out":".","opt":"paths=source_relative"}]}'
