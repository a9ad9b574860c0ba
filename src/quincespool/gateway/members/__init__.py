"""The other daemons of the group: membership, heartbeats, links and messages."""
