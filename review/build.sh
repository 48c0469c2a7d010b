#!/bin/bash
# Builds the stand-ins of the cases into review/bin. It comes after the build of the deploy file, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/_standin"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS= GOWORK=off go build -o ../bin/standin .
