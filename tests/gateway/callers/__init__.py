"""Tests of how the gateway handles callers."""
