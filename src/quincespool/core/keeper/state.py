"""What a keeper knows: the attempts in its hands and the owners it has heard from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincespool.core.keeper.audit_state import AuditState
from quincespool.core.keeper.order import ProgramOrder
from quincespool.core.keeper.queue import BackendQueue
from quincespool.core.keeper.summary_state import SummaryState

if TYPE_CHECKING:
    from quincespool.core.keeper.queue import Attempt
    from quincespool.core.messages import DispatchDone
    from quincespool.core.quarantine.reducer import QuarantineView
    from quincespool.settings import Settings

REMEMBER_MS = 60_000
MAX_KEPT_RESULTS = 256


class KeeperState:
    """State of the keeper part.

    Attributes:
      settings: Of this daemon.
      incarnation: Of this daemon.
      quarantine: Which requests are known to crash backend servers.
      queues: By backend server.
      attempts: Waiting and running, by attempt id.
      running: By exchange id.
      owner_epochs: The highest epoch seen of the owner of each partition.
      held: Backend servers that the ledger says are this daemon's, fresh or not.
      kept_results: Last outcomes of non-idempotent attempts, for owners whose link broke.
      audit: Cache audits.
      summaries: Who is told how busy a backend server is.
      order: Keeps each program's calls in order.
      draining: Whether a planned stop has begun.
    """

    def __init__(self, settings: Settings, *, incarnation: int, quarantine: QuarantineView) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.quarantine = quarantine
        self.queues: dict[str, BackendQueue] = {}
        self.attempts: dict[str, Attempt] = {}
        self.running: dict[int, Attempt] = {}
        self.owner_epochs: dict[str, int] = {}
        self.held: set[str] = set()
        self.kept_results: dict[str, DispatchDone] = {}
        self.audit = AuditState()
        self.summaries = SummaryState()
        self.order = ProgramOrder()
        self.draining = False
        self._seen_until_ms: dict[str, int] = {}
        self._exchange_id = 0
        self._arrival = 0

    def busy(self) -> int:
        """Returns how many attempts wait or run."""
        return len(self.attempts)

    def holds_work(self, backend: str) -> bool:
        """Whether attempts wait for or run on a backend server."""
        queue = self.queues.get(backend)
        return queue is not None and not queue.idle

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "draining": self.draining,
            "held": sorted(self.held),
            "remembered_attempts": len(self._seen_until_ms),
            "backends": {name: _dump_queue(queue) for name, queue in self.queues.items()},
            "audit": self.audit.dump(),
        }

    def queue(self, backend: str) -> BackendQueue:
        """Returns the queue of a backend server, made if need be."""
        return self.queues.setdefault(backend, BackendQueue(backend))

    def next_exchange_id(self) -> int:
        """Returns an exchange id that this process has not used."""
        self._exchange_id += 1
        return self._exchange_id

    def next_arrival(self) -> int:
        """Returns the number of the next attempt to arrive."""
        self._arrival += 1
        return self._arrival

    def seen(self, attempt_id: str) -> bool:
        """Whether the attempt has been taken in before."""
        return attempt_id in self._seen_until_ms

    def remember(self, attempt_id: str, *, now_ms: int, time_limit_ms: int) -> None:
        """Makes `seen` true for longer than any owner can still send the attempt."""
        self._seen_until_ms[attempt_id] = now_ms + self.keep_ms(time_limit_ms)

    def keep_ms(self, time_limit_ms: int) -> int:
        """Returns how long an attempt with this time limit, or a copy of it, may still come."""
        return time_limit_ms + self.settings.licence_ms + REMEMBER_MS

    def forget_old(self, now_ms: int) -> None:
        """Drops attempt ids that cannot come again."""
        old = [key for key, until_ms in self._seen_until_ms.items() if until_ms <= now_ms]
        for attempt_id in old:
            del self._seen_until_ms[attempt_id]
        self.order.forget_old(now_ms)

    def keep_result(self, done: DispatchDone) -> None:
        """Keeps an outcome for an owner that may ask once more."""
        self.kept_results[done.attempt_id] = done
        if len(self.kept_results) > MAX_KEPT_RESULTS:
            del self.kept_results[next(iter(self.kept_results))]


def _dump_queue(queue: BackendQueue) -> dict[str, object]:
    return {
        "running": [attempt.attempt_id for attempt in queue.running.values()],
        "waiting": [attempt.attempt_id for attempt in queue.waiting],
        "tokens": queue.tokens(),
        "resume_at_ms": queue.resume_at_ms,
    }
