#!/usr/bin/env bash
exec bash "$(dirname "$0")/../standin-2/run-case.sh" blame "$(cd "$(dirname "$0")" && pwd)"
