#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. They use the standard
# library only and belong to no module.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../target/review/rig rig/*.go
