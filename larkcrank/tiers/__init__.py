"""Tiers: processes that fetch the instance list from discovery and serve each sidecar its services."""
