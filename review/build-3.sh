#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The project's program is built by the command of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/review-3/standin3 .
