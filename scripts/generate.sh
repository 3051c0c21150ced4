#!/usr/bin/env bash
# Regenerates the Go code in api/. Needs protoc. The versions of its plugins are those in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I api --go_out=. --go_opt=module=turmericyoke \
  --connect-go_out=. --connect-go_opt=module=turmericyoke,simple=true \
  api/turmericyoke/v1/*.proto
