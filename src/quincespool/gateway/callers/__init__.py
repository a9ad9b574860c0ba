"""Requests of callers and the gateway's HTTP ports: routing, plain calls and answers."""
