"""larkcrank: a client-side load balancer, round-robin behind a cubic rate limit for each server."""
