"""Estimators of how long calls take and how long programs pause for tools.

All are exponentially weighted means that start from an initial estimate, so that a new process
decides sensibly before its first observation and adapts within a few dozen observations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quincespool.policy.protocol import CallOutcome

SMOOTHING = 0.05
MIN_COMPUTED_TOKENS = 256
"""Prompts with fewer computed tokens say little about the speed of computing a prompt."""

FIRST_PREFILL_MS_PER_TOKEN = 0.15
FIRST_DECODE_MS_PER_TOKEN = 26.0
FIRST_SERVICE_MS = 4000.0
FIRST_PAUSE_MS = 2000.0
MAX_TOOLS = 1000


class ServiceEstimator:
    """Speeds of the model engines and the mean duration of a call, averaged over all engines."""

    def __init__(self) -> None:
        self.prefill_ms_per_token = FIRST_PREFILL_MS_PER_TOKEN
        self.decode_ms_per_token = FIRST_DECODE_MS_PER_TOKEN
        self.service_ms = FIRST_SERVICE_MS

    def observe(self, outcome: CallOutcome) -> None:
        """Updates the estimates with a finished call."""
        self.service_ms = _smooth(self.service_ms, outcome.service_ms)
        if outcome.computed_tokens >= MIN_COMPUTED_TOKENS:
            speed = outcome.first_token_ms / outcome.computed_tokens
            self.prefill_ms_per_token = _smooth(self.prefill_ms_per_token, speed)
        if outcome.completion_tokens > 0:
            speed = (outcome.service_ms - outcome.first_token_ms) / outcome.completion_tokens
            self.decode_ms_per_token = _smooth(self.decode_ms_per_token, speed)


class PauseEstimator:
    """Expected pause by tool, in milliseconds; an unknown tool gets the mean over all tools."""

    def __init__(self) -> None:
        self._overall_ms = FIRST_PAUSE_MS
        self._by_tool_ms: dict[str, float] = {}

    def observe(self, tool: str, pause_ms: int) -> None:
        """Updates the estimates with a pause that has ended."""
        self._overall_ms = _smooth(self._overall_ms, pause_ms)
        known_ms = self._by_tool_ms.get(tool)
        if known_ms is not None:
            self._by_tool_ms[tool] = _smooth(known_ms, pause_ms)
            return
        # Labels may come from callers. If each pause had a new label, memory would grow until
        # the process dies; beyond this limit new labels share the overall mean.
        if len(self._by_tool_ms) < MAX_TOOLS:
            self._by_tool_ms[tool] = float(pause_ms)

    def expected_ms(self, tool: str) -> float:
        """Returns the expected pause."""
        return self._by_tool_ms.get(tool, self._overall_ms)


def _smooth(old: float, new: float) -> float:
    return old + SMOOTHING * (new - old)
