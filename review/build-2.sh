#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: one program, which is the platform's
# store, the servers and the clients.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/peers ./review/_peers
