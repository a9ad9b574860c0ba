"""The gateway: serves model calls; a call names the earlier turn that it continues."""
