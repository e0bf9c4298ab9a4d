//! Integration tests: whole processes on loopback.
