#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. It needs Go only: they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off go build -C review/stand-2 -o ../../target/review-2/stand-2 .
