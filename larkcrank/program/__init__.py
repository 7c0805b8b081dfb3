"""The sidecar process: its components, signals, operators' calls, counters and log."""
