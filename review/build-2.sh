#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-2
go build -o ../target/review-2/rig2 ./rig2
