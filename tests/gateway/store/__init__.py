"""Tests of the gateway's store."""
