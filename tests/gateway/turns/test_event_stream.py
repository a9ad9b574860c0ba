"""Tests of parsing server-sent events from bytes that are split anywhere."""

from __future__ import annotations

import re
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincespool.gateway.turns.event_stream import EventCollector
from quincespool.gateway.turns.event_stream import is_event_stream

STREAM = b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\n\nid: 3\ndata:\n\n"
DATA = b"one\ntwo\nmore\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=20))
def test_data_and_count_do_not_depend_on_how_the_bytes_are_split(cuts: list[int]) -> None:
    collector = EventCollector()
    edges = [0, *sorted(cuts), len(STREAM)]
    counted = sum(collector.feed(STREAM[start:end]) for start, end in pairwise(edges))

    assert counted == collector.event_count == 3
    assert collector.collected_data == DATA
    assert not collector.has_incomplete_event


def test_an_event_that_was_cut_off_is_incomplete() -> None:
    collector = EventCollector()
    collector.feed(b"id: 1\ndata: one\n\nid: 2\ndata: tw")

    assert collector.event_count == 1
    assert collector.has_incomplete_event


@pytest.mark.parametrize(
    ("end", "is_inside"),
    [
        (b"", False),
        (b": a comment\n", False),
        (b": a comment\n\n", False),
        (b": a com", True),
        (b"id: 2\n", True),
        (b"weights-version: 3\n", True),
        (b"data: tw", True),
        (b"data: two\n", True),
        (b"data: two\r\n", True),
        (b"data: two\r\n\r", True),
        (b"data: two\n\n", False),
    ],
)
def test_a_stream_that_ends_inside_an_event_or_a_line_was_broken_off(
    end: bytes, *, is_inside: bool
) -> None:
    collector = EventCollector()
    collector.feed(b"id: 1\ndata: one\n\n" + end)

    assert collector.is_inside_event == is_inside


@pytest.mark.parametrize(
    ("media_type", "is_stream"),
    [
        ("text/event-stream", True),
        ("Text/Event-Stream; charset=utf-8", True),
        ("application/json", False),
    ],
)
def test_the_media_type_tells_whether_a_body_consists_of_events(
    media_type: str, *, is_stream: bool
) -> None:
    headers = (("content-type", media_type),)
    assert is_event_stream(headers, if_unstated=True) == is_stream
    assert is_event_stream(headers, if_unstated=False) == is_stream
    assert is_event_stream((), if_unstated=True)
    assert not is_event_stream((), if_unstated=False)


@given(st.integers(0, len(STREAM)), st.lists(st.integers(0, len(STREAM)), max_size=5))
def test_a_stream_is_whole_only_where_an_event_or_a_comment_ends(end: int, cuts: list[int]) -> None:
    stream = STREAM[:end]
    collector = EventCollector()
    edges = [0, *sorted(min(cut, end) for cut in cuts), end]
    for start, stop in pairwise(edges):
        collector.feed(stream[start:stop])
    ends_whole = re.fullmatch(rb"((?s:.*)\n\r?\n)?(:[^\n]*\n)*", stream) is not None

    assert collector.is_inside_event != ends_whole
