#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13. The router is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standins4
