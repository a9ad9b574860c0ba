"""Tests of the gateway's members."""
