"""The other daemons: who lives, links and messages between them."""
