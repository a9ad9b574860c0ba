"""The gateway: serves model calls that name the turn of their program that they continue."""
