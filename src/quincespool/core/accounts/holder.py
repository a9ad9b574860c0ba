"""A daemon's share of one account: the permits and tokens it holds, and the calls under them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from quincespool.core.accounts.home import MAX_HOLD_MS
from quincespool.core.accounts.home import REUSE_MS
from quincespool.core.accounts.home import SLICE_MS
from quincespool.core.events import AccountDecided
from quincespool.core.messages import AccountAsked

if TYPE_CHECKING:
    from quincespool.core.messages import AccountGranted

PENDING_MS = 2_000
ANSWER_WAIT_MS = 500
RENEW_MS = REUSE_MS // 2
IDLE_MS = 3_000
RETRY_MS = 1_000
OVERDUE_MS = 5_000
MAX_BACKOFF = 5
# An idle holder that cannot give its permits back leaves them to their term.
MAX_RETURN_TRIES = 4


class Need(NamedTuple):
    """A ticket that waits for a permit and tokens."""

    tokens: int
    hold_ms: int
    give_up_at_ms: int


class Slice(NamedTuple):
    """Tokens that may be spent until a time."""

    tokens: int
    until_ms: int


class Holding:
    """State of one account at a daemon that runs calls for it."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.home = ""
        self.permits = 0
        self.until_ms = 0
        self.slices: list[Slice] = []
        self.busy: dict[str, int] = {}
        self.left: set[str] = set()
        self.pending: dict[str, Need] = {}
        self.asked: AccountAsked | None = None
        self.asked_at_ms = 0
        self.answered = True
        self.tries = 0
        self.hold_ms = 0
        self._peaks = (0, 0)
        self._peak_at_ms = 0
        self._spent: list[tuple[int, int]] = []

    def start(self, ticket: str, need: Need, *, now_ms: int) -> int | None:
        """Starts a call if what is held allows it.

        Returns:
          When it must be over, None if it cannot start now.
        """
        must_end_by_ms = now_ms + need.hold_ms
        self._drop_slices(now_ms)
        tokens = sum(item.tokens for item in self.slices)
        enough = len(self.busy) < self.permits and need.tokens <= tokens
        if not enough or must_end_by_ms > self.until_ms:
            return None
        self._spend(need.tokens, now_ms)
        self.busy[ticket] = must_end_by_ms
        self._peaks = (self._peaks[0], max(self._peaks[1], len(self.busy)))
        return must_end_by_ms

    def wait(self, ticket: str, need: Need) -> None:
        """Puts a ticket behind those that wait already."""
        self.pending[ticket] = need
        self.hold_ms = max(self.hold_ms, need.hold_ms)

    def end(self, ticket: str) -> None:
        """A call is over, or a waiting one is not wanted any more."""
        self.busy.pop(ticket, None)
        self.pending.pop(ticket, None)
        self.left.discard(ticket)

    def leave(self, ticket: str, attempt_id: str) -> None:
        """Nobody waits for this call any more, but it may run on until its end."""
        must_end_by_ms = self.busy.pop(ticket, None)
        if must_end_by_ms is None:
            return
        self.busy[attempt_id] = must_end_by_ms
        self.left.add(attempt_id)

    def ask(self, *, incarnation: int, sequence: int, epoch: int, now_ms: int) -> AccountAsked:
        """Makes the next message to the home, and keeps to what it says from now on."""
        self._move_peak(now_ms)
        wanted = max(len(self.busy) + len(self.pending), *self._peaks)
        usable = self.permits if now_ms <= self.until_ms else 0
        self.permits = max(len(self.busy), min(usable, wanted))
        needs = list(self.pending.values())
        self._drop_slices(now_ms)
        left = sum(item.tokens for item in self.slices)
        # What was spent lately is likely to be spent again: one message then serves many calls.
        ahead = sum(tokens for at_ms, tokens in self._spent if at_ms + SLICE_MS >= now_ms)
        missing = max(0, sum(need.tokens for need in needs) + ahead - left)
        self.asked = AccountAsked(
            account=self.account,
            incarnation=incarnation,
            sequence=sequence,
            epoch=epoch,
            held=self.permits,
            wanted=wanted,
            tokens_needed=max(0, needs[0].tokens - left) if needs else 0,
            tokens_wanted=missing,
            hold_ms=min(self.hold_ms, MAX_HOLD_MS),
        )
        self.asked_at_ms = now_ms
        self.answered = False
        self.tries += 1
        return self.asked

    def take(self, grant: AccountGranted, *, now_ms: int) -> list[AccountDecided]:
        """Takes the answer to the newest message; returns the decisions that it allows.

        Answers to older messages were given before the home heard what is held now, so taking one
        would use permits that the home may have granted to others meanwhile.
        """
        if self.asked is None or self.answered or grant.sequence != self.asked.sequence:
            return []
        self.answered = True
        self.tries = 0
        self.permits = grant.permits
        # From the time of asking: the home counts from later, whatever the way took.
        self.until_ms = self.asked_at_ms + grant.term_ms
        if grant.tokens:
            self.slices.append(Slice(grant.tokens, self.asked_at_ms + SLICE_MS))
        return self.serve(now_ms) + self._refuse_all(grant.retry_after_ms)

    def serve(self, now_ms: int) -> list[AccountDecided]:
        """Starts those who wait, in their order, as far as possible; gives up those overdue."""
        decided = []
        for ticket, need in list(self.pending.items()):
            must_end_by_ms = self.start(ticket, need, now_ms=now_ms)
            if must_end_by_ms is None:
                break
            del self.pending[ticket]
            decided.append(AccountDecided(self.account, ticket, True, must_end_by_ms, 0))
        for ticket, need in list(self.pending.items()):
            if need.give_up_at_ms <= now_ms:
                del self.pending[ticket]
                decided.append(
                    AccountDecided(self.account, ticket, False, 0, RETRY_MS, unanswered=True)
                )
        return decided

    def wants_to_ask(self, now_ms: int) -> bool:
        """Whether a message to the home is due."""
        if not self.answered:
            # Longer each time: with the log out no home answers, and all holders would insist.
            wait_ms = ANSWER_WAIT_MS << min(self.tries, MAX_BACKOFF) >> 1
            return now_ms >= self.asked_at_ms + wait_ms
        if self.pending:
            return True
        self._move_peak(now_ms)
        if not self.busy and not any(self._peaks):
            return self.permits > 0 and now_ms <= self.until_ms
        return now_ms >= self.asked_at_ms + RENEW_MS

    def forget_overdue(self, now_ms: int) -> int:
        """Drops calls whose time is over; returns how many of them nobody has ended or left."""
        overdue = [at for at, end_ms in self.busy.items() if end_ms + OVERDUE_MS < now_ms]
        unreleased = sum(ticket not in self.left for ticket in overdue)
        for ticket in overdue:
            self.end(ticket)
        return unreleased

    def distrust_clock(self) -> None:
        """The process stood still or its clock jumped: nothing may start under what it held."""
        self.until_ms = 0
        self.slices.clear()
        self.asked = None
        self.answered = True

    def idle(self, now_ms: int) -> bool:
        """Whether nothing of this account is left here."""
        self._move_peak(now_ms)
        unused = not self.busy and not self.pending and not any(self._peaks)
        settled = self.answered or self.tries >= MAX_RETURN_TRIES
        return unused and settled and (not self.permits or now_ms > self.until_ms)

    def _refuse_all(self, retry_after_ms: int) -> list[AccountDecided]:
        if not retry_after_ms:
            return []
        refused = [
            AccountDecided(self.account, ticket, False, 0, retry_after_ms)
            for ticket in self.pending
        ]
        self.pending.clear()
        return refused

    def _move_peak(self, now_ms: int) -> None:
        """Remembers the most calls at once over the last one to two idle times."""
        periods = (now_ms - self._peak_at_ms) // IDLE_MS
        if periods <= 0:
            return
        self._peak_at_ms = now_ms
        before = self._peaks[1] if periods == 1 else len(self.busy)
        self._peaks = (before, len(self.busy))
        self._spent = [item for item in self._spent if item[0] + SLICE_MS >= now_ms]

    def _drop_slices(self, now_ms: int) -> None:
        self.slices = [item for item in self.slices if item.until_ms >= now_ms and item.tokens]

    def _spend(self, tokens: int, now_ms: int) -> None:
        self._spent.append((now_ms, tokens))
        for at, item in enumerate(self.slices):
            used = min(tokens, item.tokens)
            self.slices[at] = item._replace(tokens=item.tokens - used)
            tokens -= used
