#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off go build -o ../bin/standin .
