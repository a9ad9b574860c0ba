"""Server-sent events, however the bytes are cut."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from quincespool.gateway.turns.event_stream import EventCollector

STREAM = b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\n: note\n\nid: 3\ndata:\n\n"
TEXT = b"one\ntwo\nmore\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=20))
def test_text_and_count_do_not_depend_on_the_cuts(cuts: list[int]) -> None:
    reader = EventCollector()
    edges = [0, *sorted(cuts), len(STREAM)]
    counted = sum(reader.feed(STREAM[start:end]) for start, end in pairwise(edges))

    assert counted == reader.event_count == 3
    assert reader.collected_data == TEXT
    assert not reader.has_incomplete_event


def test_an_event_that_was_cut_off_is_partial() -> None:
    reader = EventCollector()
    reader.feed(b"id: 1\ndata: one\n\nid: 2\ndata: tw")

    assert reader.event_count == 1
    assert reader.has_incomplete_event
