"""Which events of several runs make one answer."""

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


def _take(progress: StreamProgress, data: bytes) -> bytes:
    return b"".join(event.raw for event in progress.add_bytes(data))


@given(
    cuts=st.lists(st.integers(0, len(_stream())), max_size=4),
    piece=st.integers(1, 40),
    obeys=st.booleans(),
)
def test_any_runs_that_break_off_anywhere_make_the_whole_stream(
    cuts: list[int], piece: int, *, obeys: bool
) -> None:
    """An event twice, one missing, or one that is put together of two runs."""
    progress, got = StreamProgress(after=None), b""
    for cut in [*cuts, None]:
        run = _stream(progress.last_number or 0 if obeys else 0)[:cut]
        for start in range(0, len(run), piece):
            got += _take(progress, run[start : start + piece])
        progress.begin_attempt()
    assert got == _stream()


def test_an_event_that_was_cut_in_its_middle_is_dropped() -> None:
    progress = StreamProgress(after=None)
    assert _take(progress, _event(1) + _event(2)[:-3]) == _event(1)
    progress.begin_attempt()
    assert _take(progress, _event(2)) == _event(2)


def test_a_run_that_leaves_events_out_is_not_joined() -> None:
    progress = StreamProgress(after=None)
    _take(progress, _event(1) + _event(2))
    progress.begin_attempt()
    with pytest.raises(EventGapError):
        progress.add_bytes(_event(4))


def test_numbers_need_not_be_one_apart() -> None:
    progress = StreamProgress(after=None)
    _take(progress, _event(10) + _event(20))
    progress.begin_attempt()
    assert _take(progress, _event(30)) == _event(30)


def test_a_stream_without_numbers_is_not_resumed() -> None:
    progress = StreamProgress(after=None)
    assert _take(progress, b"data: x\n\n")
    assert not progress.can_resume
    numbered = StreamProgress(after=None)
    _take(numbered, _event(1))
    numbered.begin_attempt()
    with pytest.raises(EventGapError):
        numbered.add_bytes(b"data: x\n\n")


def test_comments_pass_and_bytes_behind_the_last_event_are_kept() -> None:
    progress = StreamProgress(after=None)
    assert _take(progress, b": ping\n\n" + _event(1)) == b": ping\n\n" + _event(1)
    assert progress.can_resume
    assert _take(progress, b"id: 2\nda") == b""
    assert progress.incomplete_bytes == b"id: 2\nda"


def test_a_caller_does_not_get_again_what_it_has() -> None:
    progress = StreamProgress(after=3)
    assert _take(progress, _stream()) == _stream(3)
