#!/bin/bash
# Builds the stand-ins of the second review's cases, after the build of the deploy file. Needs only the Go tool chain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-peers2 ./review/_peers2
