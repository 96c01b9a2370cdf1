#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin -record review/3/record.txt repeated-crash
