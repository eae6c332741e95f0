#!/usr/bin/env bash
# Builds the stand-ins of the cases. The daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
