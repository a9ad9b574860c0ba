"""Tests of joining the events of several attempts to one answer."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincespool.gateway.turns.stream_progress import EventGapError
from quincespool.gateway.turns.stream_progress import StreamProgress

EVENTS = 8


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: text {number}\n\n".encode()


def _stream(after: int = 0) -> bytes:
    return b"".join(_event(number) for number in range(after + 1, EVENTS + 1))


def _new_bytes(progress: StreamProgress, data: bytes) -> bytes:
    return b"".join(event.raw for event in progress.add_bytes(data))


@given(
    cuts=st.lists(st.integers(0, len(_stream())), max_size=4),
    piece_size=st.integers(1, 40),
    continues=st.booleans(),
)
def test_attempts_that_break_off_anywhere_add_up_to_the_complete_stream(
    cuts: list[int], piece_size: int, *, continues: bool
) -> None:
    """Guards against events that are repeated, left out, or joined from parts of two attempts."""
    progress, sent = StreamProgress(after=None), b""
    for cut in [*cuts, None]:
        attempt = _stream(progress.last_number or 0 if continues else 0)[:cut]
        for start in range(0, len(attempt), piece_size):
            sent += _new_bytes(progress, attempt[start : start + piece_size])
        progress.begin_attempt()
    assert sent == _stream()


def test_an_incomplete_event_is_dropped() -> None:
    progress = StreamProgress(after=None)
    assert _new_bytes(progress, _event(1) + _event(2)[:-3]) == _event(1)
    progress.begin_attempt()
    assert _new_bytes(progress, _event(2)) == _event(2)


def test_an_attempt_that_leaves_events_out_is_an_error() -> None:
    progress = StreamProgress(after=None)
    _new_bytes(progress, _event(1) + _event(2))
    progress.begin_attempt()
    with pytest.raises(EventGapError):
        progress.add_bytes(_event(4))


def test_event_numbers_may_increase_by_more_than_one() -> None:
    progress = StreamProgress(after=None)
    _new_bytes(progress, _event(10) + _event(20))
    progress.begin_attempt()
    assert _new_bytes(progress, _event(30)) == _event(30)


def test_a_stream_without_numbers_is_not_resumed() -> None:
    progress = StreamProgress(after=None)
    assert _new_bytes(progress, b"data: x\n\n")
    assert not progress.can_resume
    numbered = StreamProgress(after=None)
    _new_bytes(numbered, _event(1))
    numbered.begin_attempt()
    with pytest.raises(EventGapError):
        numbered.add_bytes(b"data: x\n\n")


def test_comments_are_passed_on_and_bytes_after_the_last_event_remain() -> None:
    progress = StreamProgress(after=None)
    assert _new_bytes(progress, b": ping\n\n" + _event(1)) == b": ping\n\n" + _event(1)
    assert progress.can_resume
    assert _new_bytes(progress, b"id: 2\nda") == b""
    assert progress.incomplete_bytes == b"id: 2\nda"


def test_events_that_the_caller_has_are_left_out() -> None:
    progress = StreamProgress(after=3)
    assert _new_bytes(progress, _stream()) == _stream(3)


def test_an_attempt_that_goes_back_is_ended_after_what_came_before() -> None:
    """Guards against a stream that repeats its events without end, and against losing new ones."""
    progress = StreamProgress(after=None)
    first, second = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
    assert [event.raw for event in progress.add_bytes(first + second + first)] == [first, second]
    with pytest.raises(EventGapError):
        progress.add_bytes(second)
    progress.begin_attempt()
    third = b"id: 3\ndata: c\n\n"
    assert [event.raw for event in progress.add_bytes(second + third)] == [third]
