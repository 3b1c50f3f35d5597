#!/bin/bash
# Builds the stand-ins that the scripts of the third review start. It needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
(cd review/rig3 && GOWORK=off go build -o ../../target/review/rig3 .)
