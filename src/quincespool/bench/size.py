"""How large a deployment is, and how its log is divided at that size."""

from __future__ import annotations

from typing import NamedTuple

STREAMS_PER_DAEMON = 100 / 740
PARTITIONS_PER_DAEMON = 4


class Size(NamedTuple):
    """One deployment.

    Attributes:
      daemons: Entry hosts.
      backends: Backend servers, all of them engines.
      models: Models, of which each engine serves one.
      accounts: Client accounts.
      stream_programs: Programs that each stream of the log holds.
    """

    daemons: int
    backends: int
    models: int
    accounts: int
    stream_programs: int

    @property
    def streams(self) -> int:
        """Streams `programs-N`: few enough that each gets several appends a second."""
        return max(1, round(self.daemons * STREAMS_PER_DAEMON))

    @property
    def partitions(self) -> int:
        """Partitions: a few a daemon, so that a lost host costs few claims."""
        return self.daemons * PARTITIONS_PER_DAEMON


SMALL = Size(daemons=10, backends=16, models=2, accounts=10, stream_programs=200)
MIDDLE = Size(daemons=200, backends=3_000, models=15, accounts=200, stream_programs=1_000)
PLANNED = Size(daemons=740, backends=11_000, models=15, accounts=700, stream_programs=6_000)
SIZES = {"small": SMALL, "middle": MIDDLE, "planned": PLANNED}
