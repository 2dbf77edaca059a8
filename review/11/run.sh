#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the work unit crashes no worker.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-deadly target review/11
