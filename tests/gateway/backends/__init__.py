"""Tests of the gateway's backends."""
