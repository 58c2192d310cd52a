#!/bin/sh
# Builds the stand-ins of the cases and the lease server, which the deploy file does not build.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin review/bin
go build -o bin/ ./cmd/voter
cd review
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o bin/ ./cmd/...
