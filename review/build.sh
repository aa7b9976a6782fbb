#!/usr/bin/env bash
# Builds the programs that the scripts of the review start, the project's own stand-ins among them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
