#!/bin/sh
# Builds the stand-ins and the driver of the scripted cases into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
