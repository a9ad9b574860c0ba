"""Tests of the gateway's accounts."""
