#!/bin/sh
# Builds the stand-ins and drivers of the script cases into target/. Run it after the
# build line of deploy/system.toml. It needs only the standard library.
set -e
cd "$(dirname "$0")"
go build -trimpath -buildvcs=false -o ../target/review-cases ./standin
