"""Tests of the limits and keys of client accounts at the gateway."""
