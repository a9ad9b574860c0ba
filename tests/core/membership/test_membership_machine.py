"""Five to seven members under loss, copies, disorder, crashes, restarts, freezes and cuts."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tests.core.membership.test_membership_network import Network

NUMBERS = st.integers(0, 6)
QUIET_MS = 90_000


class MembershipMachine(RuleBasedStateMachine):
    """The oracle is the set of processes that run."""

    @initialize(count=st.integers(5, 7), seed=st.integers(0, 1000), loss=st.sampled_from([0, 0.2]))
    def begin(self, count: int, seed: int, loss: float) -> None:
        self.count = count
        self.network = Network(count, seed=seed, loss=loss)
        self.numbers: dict[str, tuple[int, int]] = {}

    @rule(ms=st.sampled_from([10, 700, 4_000, 20_000]))
    def run_on(self, ms: int) -> None:
        self.network.run(ms)

    @rule(number=NUMBERS)
    def crash_or_restart(self, number: int) -> None:
        if self.network.nodes.pop(f"m{number}", None) is None and number < self.count:
            self.network.start(number)

    @rule(number=NUMBERS)
    def stop(self, number: int) -> None:
        if f"m{number}" in self.network.nodes:
            self.network.stop(f"m{number}")

    @rule(number=NUMBERS)
    def freeze_or_thaw(self, number: int) -> None:
        node = self.network.nodes.get(f"m{number}")
        if node:
            (self.network.thaw if node.frozen_ms else self.network.freeze)(f"m{number}")

    @rule(side=st.sets(NUMBERS))
    def cut_or_heal(self, side: set[int]) -> None:
        self.network.side = {f"m{number}": 1 for number in side}

    @invariant()
    def no_member_gives_itself_up_or_goes_back(self) -> None:
        for member_id, node in self.network.nodes.items():
            own = node.state.table.own
            assert node.state.find(member_id) is not None
            assert own.state == "alive"
            assert self.numbers.get(member_id, (0, 0)) <= (own.incarnation, own.refutation)
            self.numbers[member_id] = (own.incarnation, own.refutation)

    def teardown(self) -> None:
        network = self.network
        network.loss = 0
        network.side = {}
        for member_id, node in network.nodes.items():
            if node.frozen_ms:
                network.thaw(member_id)
        for number in range(2):
            if f"m{number}" not in network.nodes:
                network.start(number)
        network.run(QUIET_MS)
        assert network.agreed()


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=25, deadline=None
)
