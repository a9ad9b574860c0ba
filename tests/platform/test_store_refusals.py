"""Tests of refusals of the store with readable and unreadable bodies."""

from __future__ import annotations

import pytest

from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import StoreError
from quincespool.net.http_channel import ChannelAnswer
from quincespool.platform import store as platform_store


@pytest.mark.parametrize("body", [b"", b"<html>", b"[]", b'{"why": 3, "first": "x"}'])
@pytest.mark.parametrize("status", [409, 410])
def test_a_refusal_with_an_unreadable_body_is_a_store_error(status: int, body: bytes) -> None:
    """An exception of another type would end the task that sent the request."""
    error = platform_store._error(ChannelAnswer(status=status, headers={}, body=body))
    assert isinstance(error, StoreError)
    assert isinstance(error, ExpiredError) == (status == 410)


def test_an_expired_read_names_the_first_retained_offset() -> None:
    expired = ChannelAnswer(status=410, headers={}, body=b'{"first": 7}')
    error = platform_store._error(expired)
    assert isinstance(error, ExpiredError)
    assert error.first_offset == 7
