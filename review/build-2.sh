#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They need no module but their own.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin .
