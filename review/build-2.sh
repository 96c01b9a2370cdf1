#!/bin/bash
# Builds the stand-ins of the cases of the second review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-2 ./review/standin-2
