#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/rig"
go build -trimpath -o ../../target/review-rig .
