"""Tests of the metrics."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import quincespool
from quincespool.net.metric_table import METRICS
from quincespool.net.metrics import UnknownMetricError

if TYPE_CHECKING:
    from quincespool.net.metrics import Metrics

_USES = re.compile(r'\b(Count|Observe)\(\s*(?:metric=)?f?"([^"]+)"')


def test_counters_histograms_and_watched_values_are_rendered(metrics: Metrics) -> None:
    metrics.count("log_reads_total", 2, result="x")
    metrics.count("log_reads_total", result="x")
    metrics.observe("http_response_ms", 7)
    metrics.watch("ready", lambda: 1.0)
    text = metrics.render()[0].decode()

    assert 'quincespool_log_reads_total{result="x"} 3' in text
    assert 'quincespool_http_response_ms_bucket{le="10.0"} 1' in text
    assert "quincespool_ready 1" in text


def test_unknown_names_and_kinds_are_errors(metrics: Metrics) -> None:
    with pytest.raises(UnknownMetricError):
        metrics.count("nothing")
    with pytest.raises(UnknownMetricError):
        metrics.count("ready")
    with pytest.raises(UnknownMetricError):
        metrics.observe("log_reads_total", 1)
    with pytest.raises(UnknownMetricError):
        metrics.watch("http_response_ms", lambda: 1.0)


def test_every_metric_that_a_part_uses_is_known() -> None:
    kinds = {"Count": "counter", "Observe": "histogram"}
    sources = Path(quincespool.__file__).parent.rglob("*.py")
    used = [use for path in sources for use in _USES.findall(path.read_text())]
    known = {name: spec.kind for name, spec in METRICS.items()}
    assert len(used) > 20
    assert [(e, name) for e, name in used if known.get(name) != kinds[e]] == []
