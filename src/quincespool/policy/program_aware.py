"""The product's own policy: decides for whole programs, whose shape nobody knows beforehand.

Order: a program's calls run in the order in which their programs began, so a program queues once,
at its start, and the set of programs whose cache is in use stays small. Programs that have had much
more service than others yield to them, within bounds (see `ProgramAware.rank`).

Place: the backend server where the call is expected to be done first, computing again counted as
dearly as the class asks (see `ProgramAware.choose`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.placement import stable_hash
from quincespool.policy.cache_plan import plan_cache
from quincespool.policy.estimates import PauseEstimator
from quincespool.policy.estimates import ServiceEstimator
from quincespool.policy.protocol import Admission

if TYPE_CHECKING:
    from quincespool.policy.protocol import BackendView
    from quincespool.policy.protocol import CacheAction
    from quincespool.policy.protocol import CallOutcome
    from quincespool.policy.protocol import CallView
    from quincespool.policy.protocol import PauseView


class Tuning(NamedTuple):
    """The policy's constants; found on the tuning seeds (docs/measurements.md).

    Attributes:
      age_share: How much of a program's age counts for its rank; 1 is order of program start.
      attained_share: How much of the service it has had counts against it.
      attained_cap_ms: The most that attained service can count, so that nobody starves.
      priority_ms: What one step of the class entry's priority is worth.
      last_sibling_ms: Head start of the last sub-agent that a parent waits for.
      urgent_share: Deadline left, as a share of the program's whole time, that makes it urgent.
      urgent_ms: Head start of an urgent program.
      overtaking: Share of a queue that a call of a program under way still waits for.
      crowding: Weight of the cache that a new prefix pushes out of a full backend server.
      admit_share: Share of its deadline that a new program may spend in the queue.
      fill: Share of all cache that live programs may fill before new ones have to wait.
      patience: How much further the longest waiting ones may fill it.
    """

    age_share: float = 1.0
    attained_share: float = 0.0
    attained_cap_ms: int = 20_000
    priority_ms: int = 5_000
    last_sibling_ms: int = 2_000
    urgent_share: float = 0.15
    urgent_ms: int = 20_000
    overtaking: float = 0.5
    crowding: float = 1.0
    admit_share: float = 0.15
    fill: float = 0.8
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
        best = backends[0]
        best_cost = float("inf")
        for backend in backends:
            cost = self._cost_ms(call, backend)
            if cost < best_cost or (cost == best_cost and self._wins_tie(call, backend, best)):
                best, best_cost = backend, cost
        return best.name

    def rank(self, call: CallView, *, now_ms: int = 0, backend: BackendView | None = None) -> int:
        """Returns a point in time, roughly when the program began; earlier runs first.

        All that shifts it is bounded, so a waiting call is overtaken only by programs that began
        at most the sum of the bounds after its own: nobody starves.
        """
        tuning = self._tuning
        rank = now_ms - tuning.age_share * call.program_age_ms
        rank += min(tuning.attained_share * call.attained_ms, tuning.attained_cap_ms)
        rank += tuning.priority_ms * call.priority
        if call.sub_agent and call.siblings_open == 1:
            rank -= tuning.last_sibling_ms
        if self._urgent(call):
            rank -= tuning.urgent_ms
        return int(rank)

    def admit(self, call: CallView, backends: list[BackendView]) -> Admission:
        """Sheds programs at their first call only, while it costs nobody any work done.

        A call whose own deadline cannot be met any more is refused for good (`retry_after_ms` 0).
        """
        if call.deadline_left_ms < self._shortest_ms(call, backends):
            return Admission(admitted=False)
        if call.call_number > 1 or call.sub_agent or call.attained_ms > 0:
            return Admission(admitted=True)
        drain_ms = self._drain_ms(backends)
        allowed_ms = self._tuning.admit_share * call.deadline_left_ms
        if drain_ms <= allowed_ms and not self._crowded(call, backends):
            return Admission(admitted=True)
        return Admission(admitted=False, retry_after_ms=self._come_back_ms(call, drain_ms))

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

    def _crowded(self, call: CallView, backends: list[BackendView]) -> bool:
        # When the prefixes of the live programs no longer fit, each call pushes out the prefix of
        # a program that will need it again; one notices that engines are busy and few programs
        # end. New programs therefore wait until there is room, the oldest getting in first.
        capacity = sum(b.capacity_tokens for b in backends)
        if capacity <= 0:
            return False
        live = sum(b.live_tokens for b in backends)
        waited = call.program_age_ms / max(call.program_age_ms + call.deadline_left_ms, 1)
        fill = self._tuning.fill + self._tuning.patience * waited
        return live + call.prompt_tokens > fill * capacity

    def _cost_ms(self, call: CallView, backend: BackendView) -> float:
        computed = max(call.prompt_tokens - backend.cached_tokens - call.exported_tokens, 0)
        again = min(computed, self._seen_before_tokens(call))
        compute_ms = computed * self._service.prefill_ms_per_token
        again_ms = again * self._service.prefill_ms_per_token
        wait_ms = self._wait_ms(call, backend) + backend.load_ms
        slowdown_ms = self._service.service_ms * backend.running / (4 * max(backend.slots, 1))
        return (
            wait_ms
            + slowdown_ms
            + compute_ms
            + self._recompute_price * (again_ms + self._crowding_ms(backend, computed))
        )

    def _wait_ms(self, call: CallView, backend: BackendView) -> float:
        ahead = backend.running + backend.waiting + 1 - backend.slots
        if ahead <= 0:
            return 0.0
        if call.call_number > 1 or call.sub_agent:
            ahead = 1 + int(self._tuning.overtaking * (ahead - 1))
        return ahead * self._service.service_ms / max(backend.slots, 1)

    def _crowding_ms(self, backend: BackendView, computed_tokens: int) -> float:
        if backend.capacity_tokens <= 0:
            return 0.0
        over = backend.live_tokens + computed_tokens - backend.capacity_tokens
        pushed_out = min(max(over, 0), computed_tokens)
        filled = backend.live_tokens / backend.capacity_tokens
        price = pushed_out + filled * computed_tokens / 4
        return self._tuning.crowding * price * self._service.prefill_ms_per_token

    def _seen_before_tokens(self, call: CallView) -> int:
        return call.prompt_tokens if call.call_number > 1 else 0

    def _urgent(self, call: CallView) -> bool:
        whole_ms = call.deadline_left_ms + call.program_age_ms
        return 0 < call.deadline_left_ms < self._tuning.urgent_share * whole_ms

    def _shortest_ms(self, call: CallView, backends: list[BackendView]) -> float:
        cached = max(b.cached_tokens for b in backends) + call.exported_tokens
        return max(call.prompt_tokens - cached, 0) * self._service.prefill_ms_per_token

    def _drain_ms(self, backends: list[BackendView]) -> float:
        waiting = sum(b.waiting for b in backends)
        slots = sum(b.slots for b in backends)
        return waiting * self._service.service_ms / max(slots, 1)

    def _come_back_ms(self, call: CallView, drain_ms: float) -> int:
        # Callers that were refused together would come back together and be refused again, which
        # shows as bursts of refusals with idle engines between; the hash spreads them.
        half_ms = int(drain_ms / 2) + 500
        jitter_ms = stable_hash(f"{self._seed}|{call.program_id}|{call.deadline_left_ms}") % half_ms
        return half_ms + jitter_ms

    def _wins_tie(self, call: CallView, backend: BackendView, best: BackendView) -> bool:
        salt = f"{self._seed}|{call.program_id}|"
        return stable_hash(salt + backend.name) < stable_hash(salt + best.name)
