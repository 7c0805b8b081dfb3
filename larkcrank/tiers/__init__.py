"""Tiers: processes between discovery and the sidecars that hold the list once and give each its part."""
