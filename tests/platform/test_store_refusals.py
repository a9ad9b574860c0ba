"""Refusals of the store, readable or not."""

from __future__ import annotations

import pytest

from quincespool.gateway.store.interface import ExpiredError
from quincespool.gateway.store.interface import StoreError
from quincespool.net.http_channel import ChannelAnswer
from quincespool.platform import store as platform_store


@pytest.mark.parametrize("body", [b"", b"<html>", b"[]", b'{"why": 3, "first": "x"}'])
@pytest.mark.parametrize("status", [409, 410])
def test_a_refusal_with_an_unreadable_body_is_one_of_the_store(status: int, body: bytes) -> None:
    """It was another exception, which ended the task that had asked."""
    error = platform_store._error(ChannelAnswer(status=status, headers={}, body=body))
    assert isinstance(error, StoreError)
    assert isinstance(error, ExpiredError) == (status == 410)


def test_refusals_are_told_apart_by_what_they_say() -> None:
    gone = ChannelAnswer(status=410, headers={}, body=b'{"first": 7}')
    error = platform_store._error(gone)
    assert isinstance(error, ExpiredError)
    assert error.first_offset == 7
