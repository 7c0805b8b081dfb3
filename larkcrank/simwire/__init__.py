"""Adapter that puts the simulator's wire before the decisions; it decides nothing itself."""
