#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-platform ./review/platform
