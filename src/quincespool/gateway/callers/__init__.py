"""Callers' requests and the gateway's own ports: routes, plain calls, answers."""
