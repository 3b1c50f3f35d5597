#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. They use the standard
# library only and are no part of go.work.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../target/review/rig ./rig
