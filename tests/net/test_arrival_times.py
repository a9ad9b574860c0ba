"""Tests of the arrival times of pipelined requests."""

from __future__ import annotations

from quincespool.net.arrival_times import MAX_ARRIVALS
from quincespool.net.arrival_times import ArrivalTimes


def test_a_request_arrives_with_its_last_byte() -> None:
    times = ArrivalTimes()
    times.add(10, 1.0)
    assert times.consume(left_bytes=4) == 1.0
    times.add(5, 2.0)
    times.add(20, 3.0)
    # The second request ends with the second piece, the third one inside the last piece.
    assert times.consume(left_bytes=20) == 2.0
    assert times.consume(left_bytes=7) == 3.0
    assert times.consume(left_bytes=0) == 3.0


def test_requests_in_one_piece_arrive_together() -> None:
    times = ArrivalTimes()
    times.add(30, 1.0)
    assert [times.consume(left_bytes=left) for left in (20, 10, 0)] == [1.0] * 3


def test_many_small_pieces_are_bounded_and_never_count_as_earlier() -> None:
    times = ArrivalTimes()
    for number in range(10 * MAX_ARRIVALS):
        times.add(1, float(number))
    assert len(times._arrivals) == MAX_ARRIVALS
    assert times.consume(left_bytes=9 * MAX_ARRIVALS) >= MAX_ARRIVALS - 1
