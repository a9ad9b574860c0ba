"""Encoding and decoding for the platform; implements the gateway's protocol `PlatformCodec`."""

from __future__ import annotations

from quincespool.platform.entries import BACKENDS_TOPIC
from quincespool.platform.entries import CONFIGURATION_KEY
from quincespool.platform.entries import CONFIGURATION_TOPIC
from quincespool.platform.entries import DAEMONS_TOPIC
from quincespool.platform.entries import read_backend
from quincespool.platform.entries import read_configuration
from quincespool.platform.entries import read_daemon
from quincespool.platform.entries import write_daemon
from quincespool.platform.requests import is_readiness_request
from quincespool.platform.requests import read_address_request
from quincespool.platform.requests import read_answer_head
from quincespool.platform.requests import read_call
from quincespool.platform.requests import read_call_id
from quincespool.platform.requests import write_addresses
from quincespool.platform.requests import write_attempt_headers
from quincespool.platform.requests import write_refusal_headers

__all__ = [
    "BACKENDS_TOPIC",
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "DAEMONS_TOPIC",
    "is_readiness_request",
    "read_address_request",
    "read_answer_head",
    "read_backend",
    "read_call",
    "read_call_id",
    "read_configuration",
    "read_daemon",
    "write_addresses",
    "write_attempt_headers",
    "write_daemon",
    "write_refusal_headers",
]
