"""Translates between the platform's interfaces and the gateway's types; decides nothing."""
