"""Comparison of the policies in virtual time: decisions only, no sockets and no processes.

`python -m quincespool.policy.experiment` prints the tables of docs/measurements.md.
"""

from __future__ import annotations
