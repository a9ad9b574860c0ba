"""Tests of the gateway's turns."""
