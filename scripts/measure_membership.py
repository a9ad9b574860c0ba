"""Prints the measurements of `docs/design/membership.md`: see there for the command."""

from __future__ import annotations

import sys

from tests.core.membership.test_membership_network import Network


def measure(count: int) -> None:
    """Prints one row for each situation, at one size."""
    network = Network(count)
    print_row(network, "common start", frozenset(), 0)
    network.run(60_000)
    print_row(network, "quiet, 30 s", frozenset(), 30_000)
    network.nodes.pop(f"m{count // 2}")
    print_row(network, "one crashes", frozenset(), 20_000)
    for number in range(min(20, count // 5)):
        network.nodes.pop(f"m{count - 1 - number}")
    print_row(network, "a rack crashes", frozenset(), 20_000)
    cut = frozenset(list(network.nodes)[::3])
    network.side = dict.fromkeys(cut, 1)
    print_row(network, "a third is cut off", cut, 20_000)
    network.ms_until_agreed(frozenset(network.nodes) - cut)
    network.side = {}
    print_row(network, "the cut heals", frozenset(), 20_000)
    network.run(60_000)
    network.loss = 0.05
    print_row(network, "5% loss, 120 s", frozenset(), 120_000)


def print_row(network: Network, what: str, without: frozenset[str], ms: int) -> None:
    """Lets at least `ms` pass, and what it takes to agree; prints means over the daemons."""
    nodes = [node for member_id, node in network.nodes.items() if member_id not in without]
    before = [node.sent_bytes for node in nodes]
    events, cpu_s, began_ms = network.events, network.cpu_s, network.now_ms
    network.false_deaths = 0
    agreed_ms = network.ms_until_agreed(without)
    network.run(max(0, ms - agreed_ms))
    passed_s = (network.now_ms - began_ms) / 1000
    rates = [(n.sent_bytes - b) / passed_s for n, b in zip(nodes, before, strict=True)]
    events = network.events - events
    cpu_s = network.cpu_s - cpu_s
    share = cpu_s / passed_s / len(network.nodes) * 100
    print(
        f"| {len(network.nodes)} | {what} | {agreed_ms / 1000:.1f} | {passed_s:.0f} "
        f"| {sum(rates) / len(rates):.0f} | {max(rates):.0f} | {cpu_s / events * 1e6:.0f} "
        f"| {share:.3f} | {'-' if without else network.false_deaths} |",
        flush=True,
    )


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        measure(int(argument))
