"""Tests of parsing server-sent events from bytes that are split anywhere."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from quincespool.gateway.turns.event_stream import EventCollector

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
