#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/N start, into target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS="${GOFLAGS:-} -mod=mod" go build -o ../target/review-standin ./standin
