#!/bin/sh
# Builds the stand-ins and the example package of the review. It needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/standin ./testdata/standin
cd ..
go build -o review/bin/payroll ./examples/payroll
