"""Tests of `quincespool.bench.figures` and of reading metrics."""

from __future__ import annotations

import pytest

from quincespool.bench.__main__ import measure
from quincespool.bench.figures import quantile
from quincespool.bench.figures import spread
from quincespool.bench.processes import sum_metrics


def test_spread_has_median_and_ends() -> None:
    assert spread([3.0, 1.0, 2.0, 10.0]) == {
        "median": 2.5,
        "least": 1.0,
        "most": 10.0,
        "samples": 4,
    }


@pytest.mark.parametrize(("share", "value"), [(0.0, 1), (0.5, 50), (0.99, 99), (1.0, 100)])
def test_quantile_is_a_value_that_was_measured(share: float, value: float) -> None:
    assert quantile(range(1, 101), share) == value


def test_metrics_are_summed_over_their_labels() -> None:
    text = (
        "# HELP quincespool_log_reads_total Reads\n"
        'quincespool_log_reads_total{result="RecordsRead"} 3\n'
        'quincespool_log_reads_total{result="StreamExpired"} 4\n'
        "quincespool_ready 1.0\n"
        "other 9\n"
    )
    assert sum_metrics(text) == {"log_reads_total": 7.0, "ready": 1.0}


def test_unknown_slope_is_refused_before_anything_is_measured() -> None:
    with pytest.raises(SystemExit, match="unknown slopes"):
        measure(only="reducer,nothing")
