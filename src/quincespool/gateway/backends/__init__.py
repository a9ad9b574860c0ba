"""Backend servers: the table of known servers, their health, connections and attempts."""
