"""The decisions (balancer) and the records they take and give (interface)."""
