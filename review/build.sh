#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../bin/stand .
