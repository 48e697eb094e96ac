#!/usr/bin/env bash
# Generates proto/*.pb.{h,cc} and proto/*.grpc.pb.{h,cc} next to their sources.
set -eu
cd "$(dirname "$0")/.."
for file in proto/*.proto; do
  protoc -I . --cpp_out=. "$file"
done
protoc -I . --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
