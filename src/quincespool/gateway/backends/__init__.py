"""Backend servers: which there are, how sound each is, connections and attempts."""
