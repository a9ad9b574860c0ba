"""Backend servers: the table of those known, their health, connections and attempts."""
