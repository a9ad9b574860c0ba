"""The default policy: decides for whole programs, whose length is not known beforehand.

Order: earliest deadline of the whole program first. Programs that have had much service yield to
those that have had little, within a limit (see `ProgramAware.rank`).

Placement: the backend server on which the call is expected to end first, where the cost of
computing prefixes again is weighted as set in the class entry (see `ProgramAware.choose`).

Admission: new programs are refused while waiting in the queues would take too much of their time,
or while the prefixes of the live programs fill the caches. A program in progress is never shed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.policy.cache_plan import plan_cache
from quincespool.policy.estimates import PauseEstimator
from quincespool.policy.estimates import ServiceEstimator
from quincespool.policy.protocol import Admission
from quincespool.stable_hash import stable_hash

if TYPE_CHECKING:
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CacheAction
    from quincespool.policy.protocol import CallOutcome
    from quincespool.policy.protocol import CallView
    from quincespool.policy.protocol import PauseView

NEAR_TIE_MS = 20.0
"""Costs that differ by less count as equal: the estimates are no more precise than that."""


NOT_URGENT_MS = 600_000
"""A new program with more time left than this gets none of `Tuning.urgent_extra_fill`."""

CACHE_TURNOVER_MS = 60_000
"""Initial estimate of the time until all live programs of a full cache have been replaced."""

MIN_RETRY_MS = 1000


class Tuning(NamedTuple):
    """The policy's constants.

    Attributes:
      attained_share: Share of a program's attained service that is added to its rank.
      attained_cap_ms: Upper limit of that addition, so that no program starves.
      priority_ms: Time added to the rank for each step of the class entry's priority.
      queue_share: Share of the queued calls that run before a call of a program in progress.
      recompute_factor: Factor on the cost of computing a prefix again, since this delays other
        calls, too.
      eviction_weight: Weight of the cache that a new prefix evicts from a full backend server.
      admit_share: Share of its remaining time that a new program may spend in the queue.
      max_fill: Share of all cache that live programs may fill before new ones have to wait.
      urgent_extra_fill: Additional share that the most urgent new programs may fill.
    """

    attained_share: float = 1.0
    attained_cap_ms: int = 60_000
    priority_ms: int = 5_000
    queue_share: float = 0.2
    recompute_factor: float = 5.0
    eviction_weight: float = 1.0
    admit_share: float = 0.3
    max_fill: float = 0.95
    urgent_extra_fill: float = 0.4


class ProgramAware:
    """Implements the policy described in the docstring of the module.

    Its only state is the estimates of speeds and pauses.
    """

    def __init__(
        self,
        *,
        latency_weight: float,
        cache_weight: float,
        seed: int,
        tuning: Tuning | None = None,
    ) -> None:
        self._recompute_price = cache_weight / max(latency_weight, 0.05)
        self._seed = seed
        self._tuning = tuning or Tuning()
        self._service = ServiceEstimator()
        self._pauses = PauseEstimator()

    def choose(self, call: CallView, backends: list[BackendView], *, now_ms: int) -> str:
        """Returns the server of the least cost: time to the end plus cost of recomputation."""
        costs_ms = self._costs_ms(call, backends)
        limit_ms = min(costs_ms) + NEAR_TIE_MS
        best = [b for b, cost_ms in zip(backends, costs_ms, strict=True) if cost_ms <= limit_ms]
        if len(best) == 1:
            return best[0].name
        return self._break_tie(call, best, backends).name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns a point in time near the program's deadline; earlier ones run first.

        The rank of a waiting call is fixed, and its distance from the deadline is bounded. A
        waiting call is therefore overtaken only by programs whose deadlines are later by at most
        these bounds, so that no program starves.
        """
        tuning = self._tuning
        rank = now_ms + call.deadline_left_ms
        rank += int(min(tuning.attained_share * call.attained_ms, tuning.attained_cap_ms))
        return rank + tuning.priority_ms * call.priority

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Sheds programs only at their first call, when no work is lost.

        A call whose own deadline can't be met any more is refused for good (`retry_after_ms` 0).
        """
        if call.deadline_left_ms < self._shortest_ms(call, backends):
            return Admission(admitted=False)
        if call.call_number > 1 or call.sub_agent or call.attained_ms > 0:
            return Admission(admitted=True)
        drain_ms = self._drain_ms(backends)
        if drain_ms > self._tuning.admit_share * call.deadline_left_ms:
            return Admission(
                admitted=False, retry_after_ms=self._retry_after_ms(call, drain_ms / 2)
            )
        excess = self._excess_fill(call, backends)
        if excess > 0:
            room_ms = excess * CACHE_TURNOVER_MS
            return Admission(admitted=False, retry_after_ms=self._retry_after_ms(call, room_ms))
        return Admission(admitted=True)

    def plan_pause(self, pause: PauseView) -> CacheAction:
        """Compares the expected pause for this tool with the cost of computing the prefix again."""
        return plan_cache(
            pause,
            expected_pause_ms=self._pauses.expected_ms(pause.tool),
            prefill_ms_per_token=self._service.prefill_ms_per_token,
        )

    def observe_call(self, outcome: CallOutcome) -> None:
        """Updates the estimated speeds of the engines."""
        self._service.observe(outcome)

    def observe_pause(self, tool: str, pause_ms: int) -> None:
        """Updates the estimated time of a tool."""
        self._pauses.observe(tool, pause_ms)

    def _excess_fill(self, call: CallView, backends: list[BackendView]) -> float:
        """Returns how far the call would exceed the fill allowed for it, as a share of all cache.

        When the prefixes of the live programs no longer fit, each call evicts the prefix of a
        program that will need it again; the symptom is busy engines while few programs end. New
        programs therefore wait for room, and those nearest to their deadlines are admitted first.
        """
        capacity = sum(b.capacity_tokens for b in backends)
        if capacity <= 0:
            return 0.0
        live = sum(b.live_tokens for b in backends)
        urgency = 1 - min(call.deadline_left_ms / NOT_URGENT_MS, 1.0)
        fill = self._tuning.max_fill + self._tuning.urgent_extra_fill * urgency
        return (live + call.prompt_tokens) / capacity - fill

    def _costs_ms(self, call: CallView, backends: list[BackendView]) -> list[float]:
        """Returns the cost for each backend server, in one loop since it runs for every call."""
        tuning = self._tuning
        prefill_ms = self._service.prefill_ms_per_token
        service_ms = self._service.service_ms
        uncached_tokens = call.prompt_tokens - call.exported_tokens
        overtakes = call.call_number > 1 or call.sub_agent
        recompute_weight = tuning.recompute_factor if call.call_number > 1 else 0.0
        costs_ms = []
        for backend in backends:
            slots = backend.slots or 1
            ahead = backend.running + backend.waiting + 1 - slots
            if ahead > 1 and overtakes:
                ahead = 1 + int(tuning.queue_share * (ahead - 1))
            wait_ms = ahead * service_ms / slots if ahead > 0 else 0.0
            slowdown_ms = service_ms * backend.running / (4 * slots)
            computed = max(uncached_tokens - backend.cached_tokens, 0)
            delay_tokens = recompute_weight * computed + self._crowding_tokens(backend, computed)
            recompute_ms = prefill_ms * (computed + self._recompute_price * delay_tokens)
            costs_ms.append(wait_ms + backend.load_ms + slowdown_ms + recompute_ms)
        return costs_ms

    def _crowding_tokens(self, backend: BackendView, computed_tokens: int) -> float:
        capacity = backend.capacity_tokens
        if capacity <= 0 or computed_tokens == 0:
            return 0.0
        evicted = min(max(backend.live_tokens + computed_tokens - capacity, 0), computed_tokens)
        filled = backend.live_tokens / capacity
        return self._tuning.eviction_weight * (evicted + filled * computed_tokens / 4)

    def _shortest_ms(self, call: CallView, backends: list[BackendView]) -> float:
        cached = max(b.cached_tokens for b in backends) + call.exported_tokens
        return max(call.prompt_tokens - cached, 0) * self._service.prefill_ms_per_token

    def _drain_ms(self, backends: list[BackendView]) -> float:
        waiting = sum(b.waiting for b in backends)
        slots = sum(b.slots for b in backends)
        return waiting * self._service.service_ms / max(slots, 1)

    def _retry_after_ms(self, call: CallView, wait_ms: float) -> int:
        # Callers that were refused together would retry together and be refused again, which shows
        # as bursts of refusals with idle engines in between; the hash spreads the retries.
        least_ms = int(wait_ms) + MIN_RETRY_MS
        salt = f"{self._seed}|{call.program_id}|{call.deadline_left_ms}"
        return least_ms + stable_hash(salt) % (least_ms // 2)

    def _break_tie(
        self, call: CallView, best: list[BackendView], backends: list[BackendView]
    ) -> BackendView:
        """Returns a server in the zone of least live work, to limit the loss if a zone fails."""
        zone_tokens: dict[str, int] = {}
        for backend in backends:
            tokens = backend.live_tokens or backend.waiting_tokens
            zone_tokens[backend.zone] = zone_tokens.get(backend.zone, 0) + tokens
        salt = f"{self._seed}|{call.program_id}|"
        return min(best, key=lambda b: (zone_tokens[b.zone], stable_hash(salt + b.name)))
