#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They use the standard library only
# and belong to no module, so that the workspace stays as it is.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../target/review/rig3 rig3/*.go
