"""Translates between the platform's interfaces and the gateway's types, without any decisions."""
