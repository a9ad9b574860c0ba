"""The product's own policy: decides for whole programs, whose shape nobody knows beforehand.

Order: earliest deadline of the whole program first. Programs that have had much service yield to
those that have had little, within a bound (see `ProgramAware.rank`).

Place: the backend server where the call is expected to be done first, computing again counted as
dearly as the class asks (see `ProgramAware.choose`).

Admission: new programs wait outside while the queues would cost them too much of their time, or
while the prefixes of the live programs fill the caches. A program under way is never shed.
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
"""Costs that differ by less are alike; the estimates are no better than that."""


NOT_URGENT_MS = 600_000
"""A new program with more time than this left has no claim to a full cache."""

CACHE_TURNOVER_MS = 60_000
"""First guess of how long the live programs of a full cache take to make room for as many."""

MIN_RETRY_MS = 1000


class Tuning(NamedTuple):
    """The policy's constants.

    Attributes:
      attained_share: How much of the service a program has had counts against it.
      attained_cap_ms: The most that attained service can count, so that nobody starves.
      priority_ms: What one step of the class entry's priority is worth.
      overtaking: Share of a queue that a call of a program under way still waits for.
      stay: How many times its own cost computing a prefix again counts; it delays others, too.
      crowding: Weight of the cache that a new prefix pushes out of a full backend server.
      admit_share: Share of the time it has left that a new program may spend in the queue.
      fill: Share of all cache that live programs may fill before new ones have to wait.
      patience: How much further the most urgent new ones may fill it.
    """

    attained_share: float = 1.0
    attained_cap_ms: int = 60_000
    priority_ms: int = 5_000
    overtaking: float = 0.2
    stay: float = 5.0
    crowding: float = 1.0
    admit_share: float = 0.3
    fill: float = 0.95
    patience: float = 0.4


class ProgramAware:
    """See the module. Its state is what it has learned of speeds and pauses, nothing else."""

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
        """Returns where the call costs least: time until done plus the price of computing again."""
        costs_ms = self._costs_ms(call, backends)
        limit_ms = min(costs_ms) + NEAR_TIE_MS
        best = [b for b, cost_ms in zip(backends, costs_ms, strict=True) if cost_ms <= limit_ms]
        if len(best) == 1:
            return best[0].name
        return self._break_tie(call, best, backends).name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns a point in time, near the program's deadline; earlier runs first.

        It does not move on with time while that which shifts it is bounded. So a waiting call is
        overtaken only by programs whose deadlines are later by at most the bounds: nobody starves.
        """
        tuning = self._tuning
        rank = now_ms + call.deadline_left_ms
        rank += int(min(tuning.attained_share * call.attained_ms, tuning.attained_cap_ms))
        return rank + tuning.priority_ms * call.priority

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Sheds programs at their first call only, while it costs nobody any work done.

        A call whose own deadline cannot be met any more is refused for good (`retry_after_ms` 0).
        """
        if call.deadline_left_ms < self._shortest_ms(call, backends):
            return Admission(admitted=False)
        if call.call_number > 1 or call.sub_agent or call.attained_ms > 0:
            return Admission(admitted=True)
        drain_ms = self._drain_ms(backends)
        if drain_ms > self._tuning.admit_share * call.deadline_left_ms:
            return Admission(admitted=False, retry_after_ms=self._come_back_ms(call, drain_ms / 2))
        over = self._overfilled(call, backends)
        if over > 0:
            room_ms = over * CACHE_TURNOVER_MS
            return Admission(admitted=False, retry_after_ms=self._come_back_ms(call, room_ms))
        return Admission(admitted=True)

    def plan_pause(self, pause: PauseView) -> CacheAction:
        """Weighs the expected pause of this tool against computing the prefix again."""
        return plan_cache(
            pause,
            expected_pause_ms=self._pauses.expected_ms(pause.tool),
            prefill_ms_per_token=self._service.prefill_ms_per_token,
        )

    def observe_call(self, outcome: CallOutcome) -> None:
        """Learns the speeds of the engines."""
        self._service.observe(outcome)

    def observe_pause(self, tool: str, pause_ms: int) -> None:
        """Learns how long a tool takes."""
        self._pauses.observe(tool, pause_ms)

    def _overfilled(self, call: CallView, backends: list[BackendView]) -> float:
        """Returns by what share of all cache the call would go beyond what it may fill.

        When the prefixes of the live programs no longer fit, each call pushes out the prefix of a
        program that will need it again; one notices that engines are busy and few programs end.
        New programs therefore wait for room, those nearest to their deadlines getting in first.
        """
        capacity = sum(b.capacity_tokens for b in backends)
        if capacity <= 0:
            return 0.0
        live = sum(b.live_tokens for b in backends)
        urgency = 1 - min(call.deadline_left_ms / NOT_URGENT_MS, 1.0)
        fill = self._tuning.fill + self._tuning.patience * urgency
        return (live + call.prompt_tokens) / capacity - fill

    def _costs_ms(self, call: CallView, backends: list[BackendView]) -> list[float]:
        """Returns the cost for each backend server; one loop, since it runs for every call."""
        tuning = self._tuning
        prefill_ms = self._service.prefill_ms_per_token
        service_ms = self._service.service_ms
        uncached_tokens = call.prompt_tokens - call.exported_tokens
        overtakes = call.call_number > 1 or call.sub_agent
        again_price = tuning.stay if call.call_number > 1 else 0.0
        costs_ms = []
        for backend in backends:
            slots = backend.slots or 1
            ahead = backend.running + backend.waiting + 1 - slots
            if ahead > 1 and overtakes:
                ahead = 1 + int(tuning.overtaking * (ahead - 1))
            wait_ms = ahead * service_ms / slots if ahead > 0 else 0.0
            slowdown_ms = service_ms * backend.running / (4 * slots)
            computed = max(uncached_tokens - backend.cached_tokens, 0)
            harm = again_price * computed + self._crowding_tokens(backend, computed)
            recompute_ms = prefill_ms * (computed + self._recompute_price * harm)
            costs_ms.append(wait_ms + backend.load_ms + slowdown_ms + recompute_ms)
        return costs_ms

    def _crowding_tokens(self, backend: BackendView, computed_tokens: int) -> float:
        capacity = backend.capacity_tokens
        if capacity <= 0 or computed_tokens == 0:
            return 0.0
        pushed_out = min(max(backend.live_tokens + computed_tokens - capacity, 0), computed_tokens)
        filled = backend.live_tokens / capacity
        return self._tuning.crowding * (pushed_out + filled * computed_tokens / 4)

    def _shortest_ms(self, call: CallView, backends: list[BackendView]) -> float:
        cached = max(b.cached_tokens for b in backends) + call.exported_tokens
        return max(call.prompt_tokens - cached, 0) * self._service.prefill_ms_per_token

    def _drain_ms(self, backends: list[BackendView]) -> float:
        waiting = sum(b.waiting for b in backends)
        slots = sum(b.slots for b in backends)
        return waiting * self._service.service_ms / max(slots, 1)

    def _come_back_ms(self, call: CallView, wait_ms: float) -> int:
        # Callers that were refused together would come back together and be refused again, which
        # shows as bursts of refusals with idle engines between; the hash spreads them.
        least_ms = int(wait_ms) + MIN_RETRY_MS
        salt = f"{self._seed}|{call.program_id}|{call.deadline_left_ms}"
        return least_ms + stable_hash(salt) % (least_ms // 2)

    def _break_tie(
        self, call: CallView, best: list[BackendView], backends: list[BackendView]
    ) -> BackendView:
        """Returns one in the zone with the least live work, so that losing a zone costs least."""
        zone_tokens: dict[str, int] = {}
        for backend in backends:
            tokens = backend.live_tokens or backend.waiting_tokens
            zone_tokens[backend.zone] = zone_tokens.get(backend.zone, 0) + tokens
        salt = f"{self._seed}|{call.program_id}|"
        return min(best, key=lambda b: (zone_tokens[b.zone], stable_hash(salt + b.name)))
