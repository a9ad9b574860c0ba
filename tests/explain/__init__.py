"""Tests of the same package of the product."""
