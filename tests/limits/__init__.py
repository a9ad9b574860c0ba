"""Tests of limits of client accounts."""
