#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/standin .
