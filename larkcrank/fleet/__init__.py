"""What the sidecars do together. Nothing here does I/O but the modules that say so; off unless configured."""
