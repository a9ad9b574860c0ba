"""Tests of the gateway's backend servers."""
