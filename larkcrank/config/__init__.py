"""Reads and checks all configuration, and sets the defaults of missing keys."""
