#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/. Run it from the root of the repository, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-crashes review/stand-3/common.go review/stand-3/crashes.go
