#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin -record review/2/record.txt missed-removal
