#!/bin/sh
# Builds the stand-ins and clients of the second review's cases. It needs no network.
set -eu
cd "$(dirname "$0")/second"
go build -buildvcs=false -o ../../bin/review-2 .
