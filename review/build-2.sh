#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/. The deploy file's build
# makes the daemon. The sources are given as files, so that the workspace stays as it is.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd standin && go build -o ../target/rig2 ../review/rig2/*.go)
