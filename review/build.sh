#!/bin/sh
# Builds the stand-ins of the cases, and the lease server, which the deploy file does not build.
set -e
cd "$(dirname "$0")"
mkdir -p bin ../bin
GOWORK=off GOPROXY=off go build -o bin/ ./cmd/...
cd ..
go build -o bin/ ./cmd/voter
