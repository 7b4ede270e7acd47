#!/usr/bin/env bash
# Regenerates wire.pb.go; needs protoc and protoc-gen-go v1.36.12 on PATH.
set -euo pipefail
cd "$(dirname "$0")/../../.."
protoc --go_out=. --go_opt=module=amaranthline io/protocol/wire/wire.proto
