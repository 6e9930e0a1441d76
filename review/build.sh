#!/bin/sh
# Builds the stand-ins of the scripted cases. The agent is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/standin ./review/_standin
