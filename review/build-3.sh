#!/bin/sh
# Builds the stand-ins of the cases from 11 on into target/. Run it from the root of the repository, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-deadly review/stand-3/common.go review/stand-3/deadly.go
