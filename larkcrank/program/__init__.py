"""The sidecar as a program: wiring, signals, counters and the log."""
